/// @file
/// Distinguishes cancelled coroutines from failed ones.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/multiple_exceptions.hpp>
#include <boost/system/system_error.hpp>

#include <exception>

namespace ferryroad::runtime {

/// @param failure exception that ended a coroutine.
/// @return whether the coroutine was cancelled (operation_aborted). If both branches of `a || b`
/// are cancelled, Asio throws one multiple_exceptions, which counts as a cancellation, too.
/// Thread-safe.
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
