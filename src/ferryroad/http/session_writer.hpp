/// @file
/// The `response_writer` of a server's connection. Internal to this folder.
#pragma once

#include "ferryroad/http/codec.hpp"
#include "ferryroad/http/session.hpp"

namespace ferryroad::http {

class session_writer final : public response_writer {
  public:
    /// What the request says about its answer.
    struct terms {
        bool keep_alive = true;
        bool accepts_chunks = true;
        bool is_head = false;
    };

    session_writer(std::shared_ptr<connection> link, std::shared_ptr<server_shared> shared,
                   terms request_terms);

    runtime::task<runtime::result<void, error>> send(response answer) override;
    runtime::task<runtime::result<void, error>> begin_stream(unsigned status,
                                                             header_list headers) override;
    runtime::task<runtime::result<void, error>> write(std::string chunk) override;
    runtime::task<runtime::result<void, error>> end_stream() override;
    runtime::task<void> wait_closed() override;
    void abort() override;

    bool has_begun() const { return stage_ != stage::none; }
    /// @return whether the answer went out whole and the connection may carry another request.
    bool may_keep_alive() const { return stage_ == stage::complete && kept_alive_; }

  private:
    enum class stage { none, streaming, complete, broken };

    /// Writes; the answer is `broken` until all is written, also where this is cancelled.
    runtime::task<runtime::result<void, error>> put(std::string head, std::string body, stage next);
    runtime::result<void, error> misuse(const char* message);
    bool may_be_kept_alive() const;

    std::shared_ptr<connection> link_;
    std::shared_ptr<server_shared> shared_;
    terms terms_;
    stage stage_ = stage::none;
    bool kept_alive_ = false;
};

}  // namespace ferryroad::http
