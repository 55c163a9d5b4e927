#include "bench/simulation/platform/platform_client.hpp"

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

/// A call that changes something may have taken effect where its answer is lost; one that
/// reads has not.
constexpr platform::error_code lost_change = platform::error_code::answer_lost;
constexpr platform::error_code lost_reading = platform::error_code::unavailable;

}  // namespace

runtime::task<platform::result<platform_outcomes>> platform_table::transact(
    std::vector<platform::transaction> transactions) {
    const auto line = caller_.open<platform_outcomes>(lost_change);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line, transactions = std::move(transactions)] {
        server->transact(line, transactions);
    };
    co_return co_await caller_.exchange<platform_outcomes>(line, std::move(arrive), lost_change);
}

runtime::task<platform::result<platform_rows>> platform_table::read(
    std::vector<platform::row_key> keys) {
    const auto line = caller_.open<platform_rows>(lost_reading);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line, keys = std::move(keys)] {
        server->read(line, keys);
    };
    co_return co_await caller_.exchange<platform_rows>(line, std::move(arrive), lost_reading);
}

runtime::task<platform::result<platform_rows>> platform_table::scan(std::string prefix,
                                                                    platform::row_key after,
                                                                    std::uint32_t limit) {
    const auto line = caller_.open<platform_rows>(lost_reading);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line, prefix = std::move(prefix),
                                    after = std::move(after),
                                    limit] { server->scan(line, prefix, after, limit); };
    co_return co_await caller_.exchange<platform_rows>(line, std::move(arrive), lost_reading);
}

runtime::task<platform::result<void>> platform_objects::put(std::string name, std::string bytes) {
    const auto line = caller_.open<void>(lost_change);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line, name = std::move(name),
                                    bytes = std::move(bytes)] {
        server->put_object(line, name, bytes);
    };
    co_return co_await caller_.exchange<void>(line, std::move(arrive), lost_change);
}

runtime::task<platform::result<std::string>> platform_objects::get(std::string name) {
    const auto line = caller_.open<std::string>(lost_reading);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line, name = std::move(name)] {
        server->get_object(line, name);
    };
    co_return co_await caller_.exchange<std::string>(line, std::move(arrive), lost_reading);
}

runtime::task<platform::result<std::vector<platform::machine>>> platform_machines::list() {
    const auto line = caller_.open<std::vector<platform::machine>>(lost_reading);
    simulated_platform* server = &caller_.server();
    std::function<void()> arrive = [server, line] { server->list_machines(line); };
    co_return co_await caller_.exchange<std::vector<platform::machine>>(line, std::move(arrive),
                                                                        lost_reading);
}

}  // namespace ferryroad::bench::simulation
