/// Property test of claims: several attempts compete for one key through a table that loses, delays
/// and refuses writes. At most one attempt may run.
#include "ferryroad/coordination/claim/closing.hpp"
#include "ferryroad/coordination/claim/opening.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace ferryroad::coordination::claim;
namespace base = ferryroad::base;

namespace {

/// The row of the claim, and writes that were delayed and haven't reached it yet.
class table {
  public:
    stored_row row;

    event apply(const write_row& write) {
        if (write.expected != row.version) {
            return write_conflicted{row};
        }
        const row_version version(++counter_);
        row = write.value ? stored_row{version, *write.value} : stored_row{};
        return write_committed{version};
    }
    void delay(const write_row& write) { delayed_.push_back(write); }
    void apply_delayed(std::size_t index) {
        if (!delayed_.empty()) {
            const auto chosen =
                delayed_.begin() + static_cast<std::ptrdiff_t>(index % delayed_.size());
            apply(*chosen);
            delayed_.erase(chosen);
        }
    }

  private:
    std::uint64_t counter_ = 0;
    std::vector<write_row> delayed_;
};

enum class write_result { answered, lost_after, lost_before, delayed, refused };

struct step {
    std::size_t actor = 0;
    write_result given = write_result::answered;
    int choice = 0;  ///< 0: a delayed write arrives; 1: the actor is declared dead; 2: it crashes.
};

rc::Gen<step> any_step() {
    return rc::gen::build<step>(rc::gen::set(&step::actor, rc::gen::inRange<std::size_t>(0, 4)),
                                rc::gen::set(&step::given, rc::gen::weightedElement<write_result>(
                                                               {{8, write_result::answered},
                                                                {2, write_result::lost_after},
                                                                {1, write_result::lost_before},
                                                                {2, write_result::delayed},
                                                                {1, write_result::refused}})),
                                rc::gen::set(&step::choice, rc::gen::inRange(0, 24)));
}

/// One attempt: claims the key, runs the request or decides not to, and closes the claim.
class actor {
  public:
    actor(std::size_t index, bool will_run)
        : terms_{base::attempt_id("a" + std::to_string(index)),
                 {holder_name("h" + std::to_string(index)), base::incarnation(1)},
                 "content"},
          opening_(terms_),
          will_run_(will_run) {}

    void act(table& on, write_result given, const circumstances& at) {
        if (!next_) {
            next_ = opening_.begin(at);
        } else if (!std::holds_alternative<ended>(*next_)) {
            const event answer = answer_of(on, given);
            next_ = closing_ ? closing_->handle(answer, at) : opening_.handle(answer, at);
        }
        if (const auto* end = std::get_if<ended>(&*next_); end && !closing_) {
            finish_opening(*end, at);
        }
    }
    bool ran() const { return ran_; }
    const std::optional<ended>& opened() const { return opened_; }
    const holder& owner() const { return terms_.owner; }

  private:
    event answer_of(table& on, write_result given) const {
        if (std::holds_alternative<read_row>(*next_)) {
            const bool failed =
                given == write_result::refused || given == write_result::lost_before;
            return failed ? event(read_failed{}) : event(row_read{on.row});
        }
        const auto& write = std::get<write_row>(*next_);
        switch (given) {
            case write_result::answered:
                return on.apply(write);
            case write_result::lost_after:
                on.apply(write);
                return write_lost{};
            case write_result::delayed:
                on.delay(write);
                return write_lost{};
            case write_result::lost_before:
                return write_lost{};
            case write_result::refused:
                break;
        }
        return write_refused{};
    }

    void finish_opening(const ended& end, const circumstances& at) {
        opened_ = end;
        const bool granted = end.result == claim_outcome::granted;
        if (!granted && !end.maybe_recorded) {
            return;
        }
        ran_ = granted && will_run_;
        closing_kind kind = close_released{};
        if (ran_) {
            kind = close_finished{{200, "text/plain", terms_.attempt.value}};
        }
        const auto known = granted ? std::optional(end.version) : std::nullopt;
        closing_.emplace(terms_, at.unix_ms, kind, known);
        next_ = closing_->begin(at);
    }

    claim_terms terms_;
    claim_opening opening_;
    std::optional<claim_closing> closing_;
    std::optional<action> next_;
    std::optional<ended> opened_;
    bool will_run_;
    bool ran_ = false;
};

void play(const std::vector<step>& script, std::vector<actor> actors) {
    table rows;
    std::map<std::string, bool> dead, crashed;
    const std::function<bool(const holder&)> known_dead = [&](const holder& who) {
        return dead[who.name.value];
    };
    std::int64_t now = 1'000'000;
    for (const step& drawn : script) {
        now += 10;
        actor& chosen = actors[drawn.actor % actors.size()];
        const std::string name = chosen.owner().name.value;
        if (drawn.choice == 0) {
            rows.apply_delayed(drawn.actor);
        } else if (drawn.choice == 1) {
            dead[name] = true;  // The declaration may be wrong: the actor may continue.
        } else if (drawn.choice == 2) {
            crashed[name] = true;
        }
        if (!crashed[name]) {
            chosen.act(rows, drawn.given, {now, known_dead});
        }
        std::vector<const actor*> ran;
        for (const actor& each : actors) {
            if (each.ran()) {
                ran.push_back(&each);
            }
        }
        RC_ASSERT(ran.size() <= 1);
        for (const actor& each : actors) {
            const auto& opened = each.opened();
            if (opened && opened->result == claim_outcome::finished) {
                RC_ASSERT(ran.size() == 1);
                const std::string& winner = opened->kept_outcome->body;
                const std::string own = "a" + ran.front()->owner().name.value.substr(1);
                RC_ASSERT(winner == own);
            }
        }
    }
}

}  // namespace

Test(claim_property, at_most_one_attempt_runs) {
    cr_assert(rc::check("lost, late and refused writes, crashes, false deaths", [] {
        for (int round = 0; round < 20; ++round) {
            std::vector<actor> actors;
            for (std::size_t index = 0; index < 4; ++index) {
                actors.emplace_back(index,
                                    *rc::gen::weightedElement<bool>({{3, true}, {1, false}}));
            }
            play(*rc::gen::container<std::vector<step>>(80, any_step()), std::move(actors));
        }
    }));
}

Test(claim_property, records_survive_encoding) {
    cr_assert(rc::check("encode, then decode", [] {
        record stored;
        stored.state = static_cast<record_state>(*rc::gen::inRange(0, 3));
        static const std::string letters = "abcXYZ019\"\\/ -{}";
        stored.attempt.value = *rc::gen::container<std::string>(rc::gen::elementOf(letters));
        stored.owner.name.value = "router-1";
        stored.owner.incarnation.value = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62);
        stored.content_digest = "digest";
        stored.claimed_at_ms = *rc::gen::arbitrary<std::int64_t>();
        stored.ended_at_ms = *rc::gen::arbitrary<std::int64_t>();
        if (*rc::gen::arbitrary<bool>()) {
            const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            stored.kept_outcome = outcome{201, "text/plain", bytes};
        }
        RC_ASSERT(try_decode(encode(stored)) == std::optional<record>(stored));
    }));
}
