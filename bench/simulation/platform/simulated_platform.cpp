#include "bench/simulation/platform/simulated_platform.hpp"

#include <utility>

namespace ferryroad::bench::simulation {

namespace {

/// The auditor reads all rows of a prefix at once.
constexpr std::uint32_t no_row_limit = 1'000'000;

std::optional<platform::error> refusal_of(const emulator::call_decision& decision) {
    switch (decision.outcome) {
        case emulator::call_decision::verdict::admitted:
            break;
        case emulator::call_decision::verdict::outage:
            return platform::error{platform::error_code::unavailable, "outage", std::nullopt};
        case emulator::call_decision::verdict::rate_limited:
            return platform::error{platform::error_code::rate_limited, "over the rate",
                                   decision.retry_after};
    }
    return std::nullopt;
}

}  // namespace

simulated_platform::simulated_platform(network& carrier, base::endpoint address,
                                       emulator::platform_options options)
    : carrier_(carrier), address_(std::move(address)), model_(options) {}

template <typename T, typename Work>
void simulated_platform::serve(emulator::platform_service service,
                               const std::shared_ptr<platform_link<T>>& line, Work work) {
    ++calls_;
    const emulator::call_decision decision = model_.decide(service, time().now(), time().random());
    time().after(decision.delay, [line, refused = refusal_of(decision), work = std::move(work)] {
        if (refused) {
            line->send_to_client(*refused);
        } else {
            work();
        }
    });
}

void simulated_platform::transact(const std::shared_ptr<platform_link<platform_outcomes>>& line,
                                  const std::vector<platform::transaction>& transactions) {
    serve<platform_outcomes>(emulator::platform_service::table, line, [this, line, transactions] {
        emulator::commit_result committed = model_.transact(transactions);
        if (committed.answer_lost) {
            carrier_.faults().add(fault_kind::platform_lost_answer);
            line->break_off();
        } else {
            line->send_to_client(std::move(committed.outcomes));
        }
    });
}

void simulated_platform::read(const std::shared_ptr<platform_link<platform_rows>>& line,
                              const std::vector<platform::row_key>& keys) {
    serve<platform_rows>(emulator::platform_service::table, line,
                         [this, line, keys] { line->send_to_client(model_.read(keys)); });
}

void simulated_platform::scan(const std::shared_ptr<platform_link<platform_rows>>& line,
                              const std::string& prefix, const platform::row_key& after,
                              std::uint32_t limit) {
    serve<platform_rows>(emulator::platform_service::table, line,
                         [this, line, prefix, after, limit] {
                             line->send_to_client(model_.scan(prefix, after, limit));
                         });
}

void simulated_platform::put_object(const std::shared_ptr<platform_link<void>>& line,
                                    const std::string& name, const std::string& bytes) {
    serve<void>(emulator::platform_service::objects, line, [this, line, name, bytes] {
        model_.put_object(name, bytes);
        line->send_to_client(platform::result<void>());
    });
}

void simulated_platform::get_object(const std::shared_ptr<platform_link<std::string>>& line,
                                    const std::string& name) {
    serve<std::string>(emulator::platform_service::objects, line, [this, line, name] {
        const std::string* bytes = model_.get_object(name);
        if (bytes == nullptr) {
            line->send_to_client(platform::error{platform::error_code::not_found,
                                                 name + " is not here", std::nullopt});
        } else {
            line->send_to_client(*bytes);
        }
    });
}

void simulated_platform::list_machines(
    const std::shared_ptr<platform_link<std::vector<platform::machine>>>& line) {
    serve<std::vector<platform::machine>>(emulator::platform_service::machines, line, [this, line] {
        line->send_to_client(model_.machines(time().now()));
    });
}

void simulated_platform::put_machine(const platform::machine& machine) {
    model_.put_machine(machine, time().now());
}

void simulated_platform::remove_machine(const std::string& name) {
    model_.remove_machine(name, time().now());
}

std::vector<platform::row> simulated_platform::rows(const std::string& prefix) const {
    return model_.scan(prefix, platform::row_key(), no_row_limit);
}

std::vector<platform::machine> simulated_platform::machines() {
    return model_.machines(time().now());
}

void simulated_platform::set_outage(bool outage) {
    emulator::platform_faults faults = model_.faults();
    faults.outage = outage;
    model_.set_faults(faults);
}

void simulated_platform::set_delay(base::duration delay) {
    emulator::platform_faults faults = model_.faults();
    faults.delay = delay;
    model_.set_faults(faults);
}

void simulated_platform::set_rate(std::optional<double> calls_per_second) {
    emulator::platform_faults faults = model_.faults();
    faults.rate = calls_per_second;
    model_.set_faults(faults);
}

void simulated_platform::lose_answers(std::uint32_t count) {
    emulator::platform_faults faults = model_.faults();
    faults.lost_answers += count;
    model_.set_faults(faults);
}

void simulated_platform::lose_no_answers() {
    emulator::platform_faults faults = model_.faults();
    faults.lost_answers = 0;
    model_.set_faults(faults);
}

}  // namespace ferryroad::bench::simulation
