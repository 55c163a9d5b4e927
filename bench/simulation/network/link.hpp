/// @file
/// One exchange between a router process and a server machine over the simulated network.
#pragma once

#include "bench/simulation/mailbox.hpp"
#include "bench/simulation/network/network.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace ferryroad::bench::simulation {

/// What a server knows of an exchange whatever is said in it.
class server_connection {
  public:
    virtual ~server_connection() = default;
    /// The server's end closes without an answer: what was sent before still arrives.
    virtual void break_off() = 0;
};

/// `Message` is what the server sends.
template <typename Message>
class link final : public server_connection, public std::enable_shared_from_this<link<Message>> {
  public:
    /// @param when_broken what the client reads once the server's end has closed.
    link(network& carrier, virtual_scheduler& client, const base::endpoint& client_address,
         const base::endpoint& server_address, Message when_broken)
        : time_(carrier.time()),
          client_(client.process()),
          forth_(channel::open(carrier, client_address, server_address)),
          back_(channel::open(carrier, server_address, client_address)),
          inbox_(std::make_shared<mailbox<Message>>(client)),
          when_broken_(std::move(when_broken)) {}

    // The client's end.
    mailbox<Message>& inbox() { return *inbox_; }
    /// Calls `arrive` at the server; that happens even where the client closes meanwhile.
    void send_to_server(std::function<void()> arrive) { forth_->send(std::move(arrive)); }
    /// The client reads no more; the server hears of it.
    void close_from_client() {
        forth_->send([self = this->shared_from_this()] {
            if (self->on_closed_) {
                self->on_closed_();
            }
        });
    }

    // The server's end.
    void send_to_client(Message message) {
        if (broken_) {
            return;
        }
        back_->send([this, self = this->shared_from_this(), message = std::move(message)] {
            time_.at(time_.now(), client_,
                     [inbox = self->inbox_, message] { inbox->push(message); });
        });
    }
    void break_off() override {
        send_to_client(when_broken_);
        broken_ = true;
        on_closed_ = nullptr;
    }
    /// @param handler called once the client has closed.
    void on_closed(std::function<void()> handler) { on_closed_ = std::move(handler); }

  private:
    virtual_time& time_;
    process_id client_;
    std::shared_ptr<channel> forth_;
    std::shared_ptr<channel> back_;
    std::shared_ptr<mailbox<Message>> inbox_;
    std::function<void()> on_closed_;
    Message when_broken_;
    bool broken_ = false;
};

/// Closes the client's end where a coroutine leaves before the exchange's end.
template <typename Message>
class closing_guard {
  public:
    explicit closing_guard(std::shared_ptr<link<Message>> guarded) : link_(std::move(guarded)) {}
    closing_guard(const closing_guard&) = delete;
    closing_guard& operator=(const closing_guard&) = delete;
    ~closing_guard() {
        if (link_) {
            link_->close_from_client();
        }
    }
    void dismiss() { link_.reset(); }

  private:
    std::shared_ptr<link<Message>> link_;
};

}  // namespace ferryroad::bench::simulation
