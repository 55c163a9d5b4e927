/// @file
/// The body of an answer that is received whole before it is sent.
#pragma once

#include "ferryroad/base/time.hpp"
#include "ferryroad/http/message.hpp"
#include "ferryroad/runtime/memory_budget.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ferryroad::relay {

/// Result of adding bytes to a body.
enum class append_result {
    appended,
    too_large,  ///< The body exceeds the size limit.
    no_memory   ///< The memory budget refuses it.
};

/// Collects a body and charges it to a memory budget. Used from the event loop's thread.
class answer_body {
  public:
    /// @param budget may be null: no limit but that of the size.
    /// @param clock must outlive the body.
    answer_body(std::shared_ptr<runtime::memory_budget> budget, const base::clock& clock,
                std::size_t max_bytes);

    /// Drops what was collected and prepares for the body that belongs to a head.
    void begin(const http::header_list& head);
    /// @return whether the body may go on. If not, call `clear`.
    append_result append(std::string_view bytes);
    /// Charges for a part of the answer that is kept elsewhere, until `release`.
    /// @param bytes of memory that the part takes in all.
    /// @return false if the memory budget refuses them.
    [[nodiscard]] bool charge(std::size_t bytes);
    /// @return the body, which stays charged until `release`.
    std::string take();
    /// Charges nothing any more for a body that was taken.
    void release();
    /// Frees what was collected.
    void clear();

    /// @return the number of bytes collected.
    std::size_t size() const { return m_bytes.size(); }
    /// @return the budget, or null.
    const runtime::memory_budget* budget() const { return m_budget.get(); }

  private:
    std::shared_ptr<runtime::memory_budget> m_budget;
    std::optional<runtime::memory_account> m_memory;
    std::size_t m_max_bytes;
    std::string m_bytes;
};

}  // namespace ferryroad::relay
