/// @file
/// The one asynchronous style: C++20 coroutines on one event loop a process.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>

namespace ferryroad::runtime {

/// A coroutine of the event loop. Started by `scheduler::spawn` or `co_await`.
template <typename T>
using task = boost::asio::awaitable<T>;

/// Value or a layer's own typed error. LEAF's error objects don't survive a suspension, so
/// asynchronous layers return this and synchronous ones `leaf::result`.
template <typename T, typename Error>
using result = boost::system::result<T, Error>;

}  // namespace ferryroad::runtime
