/// Random schedules of faults. Checks that revisions never decrease, that an operation takes effect
/// at most once and as its result reported, and that all routers agree after the faults have ended.
#include "ferryroad/catalog/difference.hpp"
#include "ferryroad/router/configuration/row_codec.hpp"
#include "test/router/configuration/simulated_routers.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace std::chrono_literals;
using namespace ferryroad;
using namespace ferryroad::router;
using namespace ferryroad::router::testing;
namespace configuration = ferryroad::coordination::configuration;

namespace {

constexpr std::size_t router_count = 4;
constexpr int event_count = 60;

/// One call of `apply`; the same operation may be attempted several times.
struct attempt {
    std::string operation;
    std::shared_ptr<std::optional<outcome>> result;
};

class fault_run {
  public:
    explicit fault_run(std::uint64_t seed) : random_(seed), system_(router_count, seed) {}

    void run() {
        for (int event = 0; event < event_count; ++event) {
            perform_random_event();
            system_.run_for(std::chrono::milliseconds(random_.below(3000)));
            check_revisions();
        }
        clear_faults();
        system_.run_for(90s);
        check_agreement();
        check_operations();
        RC_ASSERT(system_.time.failures().empty());
    }

  private:
    void perform_random_event() {
        const std::size_t router = random_.below(router_count);
        switch (random_.below(9)) {
            case 0:
                restart(router);
                return;
            case 1:
                system_.network.cut[router] = !system_.network.cut[router];
                return;
            case 2:
                system_.network.pushes_lost = !system_.network.pushes_lost;
                return;
            case 3:
                system_.platform.set_faults(random_faults());
                return;
            case 4:
                pause_or_resume(router);
                return;
            default:
                apply(router);
        }
    }

    void restart(std::size_t router) {
        system_.start(router);
        last_revisions_[router] = 0;
    }

    void pause_or_resume(std::size_t router) {
        virtual_scheduler& scheduler = system_.network.routers[router]->scheduler;
        if (scheduler.paused()) {
            scheduler.resume();
        } else {
            scheduler.pause();
        }
    }

    emulator::platform_faults random_faults() {
        emulator::platform_faults faults;
        faults.outage = random_.below(3) == 0;
        faults.delay = std::chrono::milliseconds(random_.below(2000));
        faults.lost_answers = static_cast<std::uint32_t>(random_.below(4));
        if (random_.below(3) == 0) {
            faults.rate = 2.0;
        }
        return faults;
    }

    void apply(std::size_t router) {
        const bool repeat = !attempts_.empty() && random_.below(3) == 0;
        const std::size_t number =
            repeat ? random_.below(operations_) : static_cast<std::size_t>(operations_++);
        std::optional<std::uint64_t> expected;
        if (number % 3 == 0) {
            expected = expected_of(number, router);
        }
        const std::string operation = "operation-" + std::to_string(number);
        const auto result =
            system_.apply(router, make_command(operation, static_cast<double>(number), expected));
        attempts_.push_back({operation, result});
    }

    /// @return the expected revision of an operation; a repeated one uses that of its first
    /// attempt.
    std::uint64_t expected_of(std::size_t number, std::size_t router) {
        return expected_.emplace(number, system_.revision(router)).first->second;
    }

    void clear_faults() {
        system_.platform.set_faults({});
        system_.network.pushes_lost = false;
        for (std::size_t router = 0; router < router_count; ++router) {
            system_.network.cut[router] = false;
            if (system_.network.routers[router]->scheduler.paused()) {
                system_.network.routers[router]->scheduler.resume();
            }
        }
    }

    void check_revisions() {
        for (std::size_t router = 0; router < router_count; ++router) {
            const std::uint64_t revision = system_.revision(router);
            RC_ASSERT(revision >= last_revisions_[router]);
            last_revisions_[router] = revision;
        }
    }

    /// @return all changes, read directly from the table.
    std::vector<configuration::change> read_log() const {
        std::vector<configuration::change> log;
        const auto rows = system_.platform.scan("configuration/change/", platform::row_key(), 1000);
        for (const platform::row& row : rows) {
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(next, decode_change(row.value));
                    log.push_back(std::move(next));
                    return {};
                },
                [] { RC_FAIL("a row can't be decoded"); });
        }
        return log;
    }

    void check_agreement() {
        const std::vector<configuration::change> log = read_log();
        configuration::resources content;
        std::uint64_t revision = 0;
        for (const configuration::change& next : log) {
            RC_ASSERT(next.revision.value == ++revision);
            configuration::apply_changes(content, next.resources);
        }
        for (std::size_t router = 0; router < router_count; ++router) {
            RC_ASSERT(system_.revision(router) == revision);
            RC_ASSERT(system_.service(router).confirmed());
            RC_ASSERT(system_.service(router).answer_pull(base::revision(0)).head.value ==
                      revision);
            check_content(*system_.service(router).current(), content);
        }
    }

    static void check_content(const catalog::catalog& held,
                              const configuration::resources& content) {
        configuration::resources texts;
        for (const auto& [key, text] : catalog::encode_resources(held)) {
            texts.emplace(configuration::resource_key(key.value), text);
        }
        RC_ASSERT(texts == content);
    }

    void check_operations() {
        std::map<std::string, std::size_t> commit_counts;
        for (const configuration::change& next : read_log()) {
            RC_ASSERT(++commit_counts[next.operation.value] == 1U);
        }
        std::map<std::string, bool> may_have_taken_effect;
        for (const attempt& attempted : attempts_) {
            const bool answered = attempted.result->has_value();
            const bool succeeded = answered && (*attempted.result)->has_value();
            if (succeeded && !(**attempted.result)->differences.empty()) {
                RC_ASSERT(commit_counts.contains(attempted.operation));
            }
            const bool had_no_effect =
                answered && !succeeded &&
                (*attempted.result)->error().code != configuration_error_code::outcome_unknown;
            may_have_taken_effect[attempted.operation] =
                may_have_taken_effect[attempted.operation] || !had_no_effect;
        }
        for (const auto& [operation, count] : commit_counts) {
            RC_ASSERT(may_have_taken_effect[operation]);
        }
    }

    base::seeded_random random_;
    simulated_system system_;
    std::vector<attempt> attempts_;
    std::map<std::size_t, std::uint64_t> expected_;
    std::map<std::size_t, std::uint64_t> last_revisions_;
    std::size_t operations_ = 0;
};

}  // namespace

Test(fault_schedule, revisions_never_decrease_and_all_routers_agree_after_the_faults) {
    cr_assert(rc::check([] { fault_run(*rc::gen::arbitrary<std::uint64_t>()).run(); }));
}
