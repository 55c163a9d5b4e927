/// The workload stream is a function of its specification alone.
#include "bench/workload/generator.hpp"

#include <criterion/criterion.h>

#include <map>
#include <set>

namespace {

using namespace ferryroad;
using namespace ferryroad::bench::workload;

specification sample() {
    specification source;
    source.name = "sample";
    source.seed = 5;
    source.requests = 2000;
    source.arrival = open_arrivals{100.0};
    source.tenants = {{base::tenant_name("large"), 3.0}, {base::tenant_name("small"), 1.0}};
    corpus tree;
    tree.name = "tree";
    tree.zipf_exponent = 1.2;
    tree.levels = {{10, 400, 0.0}, {4, 200, 0.5}};
    source.corpora = {tree};
    request_kind generation;
    generation.name = "generate";
    generation.corpus = "tree";
    generation.weight = 4.0;
    generation.max_tokens_min = 2;
    generation.max_tokens_max = 6;
    request_kind write;
    write.name = "write";
    write.type = request_type::application_write;
    write.repeat_share = 0.25;
    source.kinds = {generation, write};
    source.hot_set_shifts = {0.5};
    return source;
}

std::vector<workload_request> draw_all(const specification& source) {
    generator stream(source);
    std::vector<workload_request> drawn;
    while (auto next = stream.next()) {
        drawn.push_back(std::move(*next));
    }
    return drawn;
}

std::string root_of(const workload_request& drawn) {
    return drawn.prompt->substr(0, 400);
}

}  // namespace

Test(generator, same_specification_same_stream) {
    const auto first = draw_all(sample());
    const auto second = draw_all(sample());
    cr_assert_eq(first.size(), 2000U);
    for (std::size_t index = 0; index < first.size(); ++index) {
        cr_assert_eq(first[index].number, index);
        cr_assert(first[index].at == second[index].at);
        cr_assert(first[index].tenant == second[index].tenant);
        cr_assert_eq(first[index].body, second[index].body);
        cr_assert_eq(first[index].prompt == nullptr, second[index].prompt == nullptr);
        if (first[index].prompt) {
            cr_assert_eq(*first[index].prompt, *second[index].prompt);
        }
    }
}

Test(generator, another_rate_changes_only_arrivals) {
    specification faster = sample();
    faster.arrival = open_arrivals{200.0};
    const auto slow = draw_all(sample());
    const auto fast = draw_all(faster);
    for (std::size_t index = 0; index < slow.size(); ++index) {
        cr_assert(slow[index].tenant == fast[index].tenant);
        cr_assert(slow[index].key == fast[index].key);
        cr_assert(fast[index].at < slow[index].at);
    }
}

Test(generator, arrivals_rise_at_the_stated_rate) {
    const auto drawn = draw_all(sample());
    for (std::size_t index = 1; index < drawn.size(); ++index) {
        cr_assert(drawn[index].at >= drawn[index - 1].at);
    }
    const double seconds = base::to_seconds(drawn.back().at);
    cr_assert(seconds > 18.0 && seconds < 22.0, "2000 arrivals at 100/s took %f s", seconds);
}

Test(generator, prompts_are_unique_and_share_prefixes) {
    std::set<std::string> prompts;
    std::map<std::string, int> roots;
    int generations = 0;
    for (const workload_request& drawn : draw_all(sample())) {
        if (drawn.type != request_type::generation) {
            continue;
        }
        ++generations;
        cr_assert(prompts.insert(*drawn.prompt).second, "prompt of request %lu stands twice",
                  drawn.number);
        cr_assert(drawn.max_tokens >= 2 && drawn.max_tokens <= 6);
        cr_assert(drawn.shared_bytes == 400 || drawn.shared_bytes == 600);
        ++roots[root_of(drawn)];
    }
    cr_assert_leq(roots.size(), 10U);
    int hottest = 0;
    for (const auto& [root, count] : roots) {
        hottest = std::max(hottest, count);
    }
    cr_assert_gt(hottest, generations / 5, "no root is hot");
}

Test(generator, hot_set_shifts_where_stated) {
    std::map<std::string, int> before;
    std::map<std::string, int> after;
    for (const workload_request& drawn : draw_all(sample())) {
        if (drawn.type == request_type::generation) {
            ++(drawn.number < 1000 ? before : after)[root_of(drawn)];
        }
    }
    const auto hotter = [](const auto& left, const auto& right) {
        return left.second < right.second;
    };
    const auto hot_before = std::max_element(before.begin(), before.end(), hotter);
    const auto hot_after = std::max_element(after.begin(), after.end(), hotter);
    cr_assert_neq(hot_before->first, hot_after->first);
}

Test(generator, repeats_carry_key_and_body_of_the_first) {
    const auto drawn = draw_all(sample());
    int repeats = 0;
    std::set<base::idempotency_key> keys;
    for (const workload_request& current : drawn) {
        if (!current.repeats) {
            cr_assert(!current.key || keys.insert(*current.key).second);
            continue;
        }
        ++repeats;
        const workload_request& first = drawn[*current.repeats];
        cr_assert(first.key == current.key);
        cr_assert_eq(first.body, current.body);
        cr_assert(first.tenant == current.tenant);
    }
    cr_assert_gt(repeats, 50);
}
