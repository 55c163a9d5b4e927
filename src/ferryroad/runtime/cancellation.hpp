/// @file
/// Tells a coroutine that was cancelled from one that failed.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/multiple_exceptions.hpp>
#include <boost/system/system_error.hpp>

#include <exception>

namespace ferryroad::runtime {

/// @param failure that ended a coroutine.
/// @return whether it was cancelled (operation_aborted), alone or in both branches of `a || b`,
/// which end in one exception for two. Thread-safe.
inline bool is_cancellation(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const boost::system::system_error& error) {
        return error.code() == boost::asio::error::operation_aborted;
    } catch (const boost::asio::multiple_exceptions& failures) {
        return is_cancellation(failures.first_exception());
    } catch (...) {
        return false;
    }
}

}  // namespace ferryroad::runtime
