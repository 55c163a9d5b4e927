/// @file
/// The `response_writer` of a server connection. Internal to this folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/session.hpp"

namespace ferryroad::http {

/// Writes one response to a connection.
class session_writer final : public response_writer {
  public:
    /// Properties of the request that determine the form of the response.
    struct request_properties {
        bool keep_alive = true;
        bool accepts_chunks = true;
        bool is_head = false;
    };

    session_writer(std::shared_ptr<connection> link, std::shared_ptr<server_shared> shared,
                   request_properties properties);
    ~session_writer() override;
    session_writer(const session_writer&) = delete;
    session_writer& operator=(const session_writer&) = delete;

    runtime::task<runtime::result<void, error>> send(response answer) override;
    runtime::task<runtime::result<void, error>> begin_stream(unsigned status,
                                                             header_list headers) override;
    runtime::task<runtime::result<void, error>> write(std::string chunk) override;
    runtime::task<runtime::result<void, error>> end_stream() override;
    runtime::task<void> wait_closed() override;
    void abort() override;

    /// @return whether writing the response was started.
    bool is_started() const { return stage_ != stage::none; }
    /// @return whether the response was written completely and the connection may be reused.
    bool may_keep_alive() const { return stage_ == stage::complete && kept_alive_; }

  private:
    enum class stage { none, streaming, complete, broken };

    /// Writes the bytes and then sets the stage to `next`. Until then, and after a failure or
    /// cancellation, the stage is `broken`.
    runtime::task<runtime::result<void, error>> write_bytes(std::string head, std::string body,
                                                            stage next);
    /// @return `connection_lost` if the stage is `broken`. @throws std::logic_error otherwise.
    runtime::result<void, error> misuse(const char* message);
    bool allows_keep_alive() const;
    /// Closes the connection, as its client doesn't read. Called by the memory budget.
    void evict_response();
    void log_closed(std::string_view reason) const;

    std::shared_ptr<connection> link_;
    std::shared_ptr<server_shared> shared_;
    request_properties request_properties_;
    stage stage_ = stage::none;
    bool kept_alive_ = false;
    std::optional<runtime::memory_account> memory_;  ///< Of the part being written.
};

}  // namespace ferryroad::http
