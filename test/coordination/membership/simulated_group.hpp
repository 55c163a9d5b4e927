/// @file
/// A group of failure detectors on a simulated network in virtual time, with loss, duplication,
/// reordering, partitions, pauses and crashes. Equal seeds give equal runs.
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
    base::duration longest_delay = 40ms;  ///< Messages sent within this time may be reordered.
};

class simulated_group {
  public:
    struct node {
        std::unique_ptr<failure_detector> detector;
        member_update identity;
        bool running = false;
        bool paused = false;
        int side = 0;  ///< Only nodes on the same side of a partition reach each other.
        std::vector<std::function<void()>> held;  ///< Messages received during the pause.
        std::uint64_t process = 0;
        std::vector<notice> notices;
        std::uint64_t highest_revision = 0;
        std::uint64_t deaths_declared = 0;  ///< Number of members that became dead in its view.
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

    /// Starts a process with this node's name and a new incarnation. The first three nodes are the
    /// seeds.
    void start(std::size_t index) {
        node& started = nodes_[index];
        started.identity.incarnation.value += 1000;
        started.running = true;
        started.paused = false;
        started.held.clear();
        ++started.process;
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
        ++nodes_[index].process;
    }
    void depart(std::size_t index) {
        perform(index, nodes_[index].detector->depart());
        crash(index);
    }
    void pause(std::size_t index) { nodes_[index].paused = true; }
    void resume(std::size_t index) {
        nodes_[index].paused = false;
        // A due timer runs before the received messages, as in an event loop after SIGCONT.
        tick(index, nodes_[index].process);
        const auto held = std::move(nodes_[index].held);
        nodes_[index].held.clear();
        for (const auto& deliver : held) {
            deliver();
        }
    }
    /// Separates nodes [0, count) from the others; 0 heals the partition.
    void cut(std::size_t count) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_[index].side = index < count ? 1 : 0;
        }
    }
    /// Drops all datagrams between these two nodes, in both directions.
    void cut_pair(std::size_t left, std::size_t right) { cut_pair_ = std::pair(left, right); }

    void run_for(base::duration period) {
        const base::monotonic_time end = now_ + period;
        while (!events_.empty() && events_.top().at <= end) {
            step();
        }
        now_ = end;
    }
    /// @return the time until the condition held, or nothing if it did not hold within `limit`. The
    /// condition is checked twice a second.
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
    /// Called for every datagram sent.
    std::function<void(std::size_t sender, const datagram&)> on_send = [](auto, const auto&) {};

    /// Called for every member list sent as an answer.
    std::function<void(std::size_t caller, std::size_t answerer, const join_answer&)> on_list =
        [](auto, auto, const auto&) {};

    /// @return the state of `subject` as seen by `viewer`, or nothing if unknown.
    std::optional<member_state> view(std::size_t viewer, std::size_t subject) const {
        const member_record* record = nodes_[viewer].detector->members().find(name_of(subject));
        return record ? std::optional(record->update.state) : std::nullopt;
    }
    /// @return whether every running node sees exactly the running nodes as live, with their
    /// current states and incarnations.
    bool converged() const {
        std::uint64_t exact = 0;
        for (const node& each : nodes_) {
            exact ^= each.running ? digest_part(each.detector->self()) : 0;
        }
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const node& each) {
            return !each.running || each.detector->digest() == exact;
        });
    }
    /// @return whether every running node sees `subject` in `state`.
    bool all_see(std::size_t subject, member_state state) const {
        for (std::size_t viewer = 0; viewer < nodes_.size(); ++viewer) {
            if (nodes_[viewer].running && viewer != subject && view(viewer, subject) != state) {
                return false;
            }
        }
        return true;
    }
    /// @return the number of times that a running member was declared dead.
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
                // Simulates an immediate pull of the configuration.
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
        const std::uint64_t process = nodes_[index].process;
        schedule(nodes_[index].detector->next_tick(),
                 [this, index, process] { tick(index, process); });
    }
    void tick(std::size_t index, std::uint64_t process) {
        node& ticked = nodes_[index];
        if (!ticked.running || ticked.process != process || ticked.paused) {
            return;  // A paused node is ticked by `resume`.
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
    /// Runs `handle` at the receiver after a delay, or holds it while the receiver is paused; a
    /// message never reaches a later process of the same node.
    void deliver(std::size_t to, std::function<void(node&)> handle) {
        const std::uint64_t process = nodes_[to].process;
        schedule(now_ + delay(), [this, to, process, handle = std::move(handle)] {
            node& receiver = nodes_[to];
            if (!receiver.running || receiver.process != process) {
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
