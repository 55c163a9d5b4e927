/// @file
/// A group of failure detectors on a simulated network in virtual time: loss, duplication,
/// reorder, cuts, pauses, crashes. The same seed gives the same run.
#pragma once

#include "ferryroad/base/random.hpp"
#include "ferryroad/coordination/membership/failure_detector.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace ferryroad::coordination::membership::test {

using namespace std::chrono_literals;

struct network_faults {
    double loss = 0;
    double duplication = 0;
    base::duration shortest_delay = 1ms;
    base::duration longest_delay = 40ms;  ///< Reorders whatever is sent within it.
};

class simulated_group {
  public:
    struct node {
        std::unique_ptr<failure_detector> detector;
        member_update identity;
        bool running = false;
        bool paused = false;
        int side = 0;                             ///< Only nodes of one side reach each other.
        std::vector<std::function<void()>> held;  ///< What came during the pause.
        std::uint64_t life = 0;
        std::vector<notice> notices;
        std::uint64_t highest_revision = 0;
        std::uint64_t deaths_declared = 0;  ///< Members that became dead in its view.
    };

    simulated_group(std::size_t size, std::uint64_t seed, network_faults faults = {},
                    detector_settings settings = {})
        : faults_(faults), settings_(settings), random_(seed), nodes_(size) {
        for (std::size_t index = 0; index < size; ++index) {
            nodes_[index].identity = {name_of(index),
                                      address_of(index),
                                      base::zone_name("zone-" + std::to_string(index % 3)),
                                      base::region_name("region"),
                                      base::incarnation(1000),
                                      member_state::alive};
        }
    }

    static base::router_name name_of(std::size_t index) {
        return base::router_name("router-" + std::to_string(index));
    }
    static base::endpoint address_of(std::size_t index) {
        return {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    }

    /// Starts a process of this name under a new incarnation; the first three are the seeds.
    void start(std::size_t index) {
        node& started = nodes_[index];
        started.identity.incarnation.value += 1000;
        started.running = true;
        started.paused = false;
        started.held.clear();
        ++started.life;
        started.detector = std::make_unique<failure_detector>(
            settings_, started.identity,
            std::vector<base::endpoint>{address_of(0), address_of(1), address_of(2)}, random_,
            now_);
        schedule_tick(index);
    }
    void start_all() {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            start(index);
        }
    }
    void crash(std::size_t index) {
        nodes_[index].running = false;
        ++nodes_[index].life;
    }
    void depart(std::size_t index) {
        perform(index, nodes_[index].detector->depart());
        crash(index);
    }
    void pause(std::size_t index) { nodes_[index].paused = true; }
    void resume(std::size_t index) {
        nodes_[index].paused = false;
        // The timer that is due comes first, as in an event loop after SIGCONT.
        tick(index, nodes_[index].life);
        const auto held = std::move(nodes_[index].held);
        nodes_[index].held.clear();
        for (const auto& deliver : held) {
            deliver();
        }
    }
    /// Puts nodes [0, count) on one side of a cut and the others on the other; 0 heals.
    void cut(std::size_t count) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_[index].side = index < count ? 1 : 0;
        }
    }
    /// No datagram passes between these two, either way.
    void cut_pair(std::size_t left, std::size_t right) { cut_pair_ = std::pair(left, right); }

    void run_for(base::duration period) {
        const base::monotonic_time end = now_ + period;
        while (!events_.empty() && events_.top().at <= end) {
            step();
        }
        now_ = end;
    }
    /// @return how long it took until the condition held, or nothing by `limit`. It is looked
    /// at twice a second.
    std::optional<base::duration> run_until(const std::function<bool()>& condition,
                                            base::duration limit) {
        const base::monotonic_time start = now_;
        while (!condition()) {
            if (now_ - start >= limit) {
                return std::nullopt;
            }
            run_for(500ms);
        }
        return now_ - start;
    }

    node& at(std::size_t index) { return nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    base::monotonic_time now() const { return now_; }
    /// Sees every datagram as it is sent.
    std::function<void(std::size_t sender, const datagram&)> on_send = [](auto, const auto&) {};

    /// Sees every list asked for, as it is answered.
    std::function<void(std::size_t caller, std::size_t answerer, const join_answer&)> on_list =
        [](auto, auto, const auto&) {};

    /// @return `viewer`'s state of `subject`; nothing where unknown.
    std::optional<member_state> view(std::size_t viewer, std::size_t subject) const {
        const member_record* record = nodes_[viewer].detector->members().find(name_of(subject));
        return record ? std::optional(record->update.state) : std::nullopt;
    }
    /// @return whether every running node sees exactly the running ones as live, in the states
    /// and under the incarnations that they have.
    bool converged() const {
        std::uint64_t exact = 0;
        for (const node& each : nodes_) {
            exact ^= each.running ? digest_part(each.detector->self()) : 0;
        }
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const node& each) {
            return !each.running || each.detector->digest() == exact;
        });
    }
    /// @return whether every running node sees `subject` in that state.
    bool all_see(std::size_t subject, member_state state) const {
        for (std::size_t viewer = 0; viewer < nodes_.size(); ++viewer) {
            if (nodes_[viewer].running && viewer != subject && view(viewer, subject) != state) {
                return false;
            }
        }
        return true;
    }
    /// @return how often a running member was declared dead.
    std::uint64_t false_deaths() const { return false_deaths_; }
    void set_faults(network_faults faults) { faults_ = faults; }
    /// Carries out actions as the embedder would.
    void perform(std::size_t index, actions todo) {
        for (action& each : todo) {
            if (auto* out = std::get_if<send_datagram>(&each)) {
                send(index, *out);
            } else if (auto* join = std::get_if<request_join>(&each)) {
                call_join(index, *join);
            } else if (auto* learned = std::get_if<notice_learned>(&each)) {
                nodes_[index].notices.push_back(learned->notice);
            } else if (auto* seen = std::get_if<revision_seen>(&each)) {
                nodes_[index].highest_revision =
                    std::max(nodes_[index].highest_revision, seen->revision);
                // As if the configuration was pulled at once.
                nodes_[index].detector->set_revision(seen->revision);
            } else if (auto* changed = std::get_if<member_changed>(&each)) {
                record_death(index, changed->member);
            }
        }
    }

  private:
    struct event {
        base::monotonic_time at;
        std::uint64_t order = 0;
        std::function<void()> run;
        friend bool operator>(const event& left, const event& right) {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    void record_death(std::size_t viewer, const member_update& member) {
        if (member.state != member_state::dead) {
            return;
        }
        const node& subject = nodes_[member.address.port - 1000U];
        const bool really_dead = !subject.running;
        nodes_[viewer].deaths_declared += 1;
        false_deaths_ += really_dead ? 0 : 1;
    }
    void schedule(base::monotonic_time at, std::function<void()> run) {
        events_.push(event{at, next_order_++, std::move(run)});
    }
    void step() {
        const event next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.run();
    }
    void schedule_tick(std::size_t index) {
        const std::uint64_t life = nodes_[index].life;
        schedule(nodes_[index].detector->next_tick(), [this, index, life] { tick(index, life); });
    }
    void tick(std::size_t index, std::uint64_t life) {
        node& ticked = nodes_[index];
        if (!ticked.running || ticked.life != life || ticked.paused) {
            return;  // `resume` ticks a paused one.
        }
        perform(index, ticked.detector->on_tick(now_));
        schedule_tick(index);
    }
    bool reachable(std::size_t from, std::size_t to) const {
        const bool pair_cut =
            cut_pair_ && (cut_pair_ == std::pair(from, to) || cut_pair_ == std::pair(to, from));
        return nodes_[from].side == nodes_[to].side && !pair_cut;
    }
    base::duration delay() {
        const auto spread = (faults_.longest_delay - faults_.shortest_delay).count();
        return faults_.shortest_delay +
               base::duration(random_.below(static_cast<std::uint64_t>(spread) + 1));
    }
    /// Runs at the receiver, or is held while it is paused; nothing reaches another life.
    void deliver(std::size_t to, std::function<void(node&)> handle) {
        const std::uint64_t life = nodes_[to].life;
        schedule(now_ + delay(), [this, to, life, handle = std::move(handle)] {
            node& receiver = nodes_[to];
            if (!receiver.running || receiver.life != life) {
                return;
            }
            if (receiver.paused) {
                receiver.held.push_back([&receiver, handle] { handle(receiver); });
                return;
            }
            handle(receiver);
        });
    }
    void send(std::size_t from, const send_datagram& out) {
        on_send(from, out.message);
        const std::size_t to = out.to.port - 1000U;
        if (!reachable(from, to) || random_.unit() < faults_.loss) {
            return;
        }
        const int copies = random_.unit() < faults_.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            deliver(to, [this, to, from, message = out.message](node& receiver) {
                perform(to, receiver.detector->on_datagram(message, address_of(from), now_));
            });
        }
    }
    void call_join(std::size_t from, const request_join& join) {
        const std::size_t to = join.seed.port - 1000U;
        if (!reachable(from, to)) {
            return;
        }
        deliver(to, [this, to, from, message = join.message](node& receiver) {
            join_outcome outcome = receiver.detector->on_join_request(message, now_);
            perform(to, std::move(outcome.todo));
            on_list(from, to, outcome.answer);
            deliver(from, [this, from, answer = outcome.answer](node& joiner) {
                perform(from, joiner.detector->on_join_answer(answer, now_));
            });
        });
    }
    network_faults faults_;
    detector_settings settings_;
    base::seeded_random random_;
    std::vector<node> nodes_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_order_ = 0;
    std::uint64_t false_deaths_ = 0;
    std::optional<std::pair<std::size_t, std::size_t>> cut_pair_;
    base::monotonic_time now_{std::chrono::hours(1)};
};

}  // namespace ferryroad::coordination::membership::test
