/// @file
/// Types of asynchronous code: C++20 coroutines on one event loop per process.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>

namespace ferryroad::runtime {

/// A coroutine on the event loop, started by `scheduler::spawn` or `co_await`.
template <typename T>
using task = boost::asio::awaitable<T>;

/// A value or a typed error. LEAF's error objects don't survive the suspension of a coroutine, so
/// asynchronous code returns this type and synchronous code `leaf::result`.
template <typename T, typename Error>
using result = boost::system::result<T, Error>;

}  // namespace ferryroad::runtime
