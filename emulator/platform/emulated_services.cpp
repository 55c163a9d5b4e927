#include "emulator/platform/emulated_services.hpp"

namespace ferryroad::emulator {

namespace {

using platform::error_code;

}  // namespace

runtime::task<std::optional<platform::error>> call_admission::admit(platform_service service) {
    const call_decision decision = model_.decide(service, scheduler_.now(), scheduler_.random());
    co_await scheduler_.sleep_for(decision.delay);
    switch (decision.outcome) {
        case call_decision::verdict::admitted:
            break;
        case call_decision::verdict::outage:
            co_return platform::error{error_code::unavailable, "outage", std::nullopt};
        case call_decision::verdict::rate_limited:
            co_return platform::error{error_code::rate_limited, "over the rate",
                                      decision.retry_after};
    }
    co_return std::nullopt;
}

runtime::task<platform::result<std::vector<platform::transaction_outcome>>>
emulated_table::transact(std::vector<platform::transaction> transactions) {
    const auto refused = co_await admission_.admit(platform_service::table);
    if (refused) {
        co_return *refused;
    }
    commit_result committed = admission_.model().transact(transactions);
    if (committed.answer_lost) {
        co_return platform::error{error_code::answer_lost, "answer lost", std::nullopt};
    }
    co_return std::move(committed.outcomes);
}

runtime::task<platform::result<std::vector<platform::row>>> emulated_table::read(
    std::vector<platform::row_key> keys) {
    const auto refused = co_await admission_.admit(platform_service::table);
    if (refused) {
        co_return *refused;
    }
    co_return admission_.model().read(keys);
}

runtime::task<platform::result<std::vector<platform::row>>> emulated_table::scan(
    std::string prefix, platform::row_key after, std::uint32_t limit) {
    const auto refused = co_await admission_.admit(platform_service::table);
    if (refused) {
        co_return *refused;
    }
    co_return admission_.model().scan(prefix, after, limit);
}

runtime::task<platform::result<void>> emulated_object_store::put(std::string name,
                                                                 std::string bytes) {
    const auto refused = co_await admission_.admit(platform_service::objects);
    if (refused) {
        co_return *refused;
    }
    admission_.model().put_object(name, std::move(bytes));
    co_return platform::result<void>();
}

runtime::task<platform::result<std::string>> emulated_object_store::get(std::string name) {
    const auto refused = co_await admission_.admit(platform_service::objects);
    if (refused) {
        co_return *refused;
    }
    const std::string* bytes = admission_.model().get_object(name);
    if (bytes == nullptr) {
        co_return platform::error{error_code::not_found, name + " is not here", std::nullopt};
    }
    co_return *bytes;
}

runtime::task<platform::result<std::vector<platform::machine>>> emulated_machine_list::list() {
    const auto refused = co_await admission_.admit(platform_service::machines);
    if (refused) {
        co_return *refused;
    }
    co_return admission_.model().machines(admission_.scheduler().now());
}

}  // namespace ferryroad::emulator
