#include "ferryroad/operator/service/watch_reactor.hpp"

#include "ferryroad/operator/messages/catalog_codec.hpp"

#include <boost/asio/post.hpp>

namespace ferryroad::operators {

watch_reactor::watch_reactor(router::configuration_control& control, runtime::scheduler& scheduler,
                             base::revision after)
    : control_(control), executor_(scheduler.executor()) {
    boost::asio::post(executor_, [this, after] { subscribe(after); });
}

void watch_reactor::subscribe(base::revision after) {
    if (!finished_) {
        subscription_ =
            control_.watch(after, [this](const router::revision_event& event) { add(event); });
    }
}

void watch_reactor::add(const router::revision_event& event) {
    if (finished_) {
        return;
    }
    if (queued_events_.size() >= max_queued_events) {
        finish({grpc::StatusCode::RESOURCE_EXHAUSTED,
                "the client reads events too slowly; start the watch again"});
        return;
    }
    v1::WatchEvent& message = queued_events_.emplace_back();
    message.set_revision(event.revision.value);
    message.set_author(event.author.value);
    message.set_operation_id(event.operation.value);
    message.set_compacted(event.compacted);
    encode_differences(event.differences, *message.mutable_differences());
    write_next();
}

void watch_reactor::write_next() {
    if (!writing_ && !finished_ && !queued_events_.empty()) {
        writing_ = true;
        StartWrite(&queued_events_.front());
    }
}

void watch_reactor::finish(const grpc::Status& status) {
    if (!finished_) {
        finished_ = true;
        Finish(status);
    }
}

void watch_reactor::OnWriteDone(bool ok) {
    boost::asio::post(executor_, [this, ok] {
        writing_ = false;
        queued_events_.pop_front();
        if (ok) {
            write_next();
        } else {
            finish(grpc::Status::CANCELLED);
        }
    });
}

void watch_reactor::OnCancel() {
    boost::asio::post(executor_, [this] { finish(grpc::Status::CANCELLED); });
}

void watch_reactor::OnDone() {
    boost::asio::post(executor_, [this] { delete this; });
}

}  // namespace ferryroad::operators
