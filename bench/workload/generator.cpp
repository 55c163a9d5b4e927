#include "bench/workload/generator.hpp"

#include "ferryroad/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryroad::bench::workload {

namespace {

// Offsets that keep the random sequences of one seed apart.
constexpr std::uint64_t arrival_stream = 1;
constexpr std::uint64_t content_stream = 2;

template <typename Item>
std::vector<double> weights_of(const std::vector<Item>& items) {
    std::vector<double> weights;
    weights.reserve(items.size());
    for (const Item& item : items) {
        weights.push_back(item.weight);
    }
    return weights;
}

/// @return a uniform number in [least, most].
template <typename Number>
Number draw_between(base::random_source& random, Number least, Number most) {
    return least + static_cast<Number>(random.below(static_cast<std::uint64_t>(most - least) + 1));
}

std::string request_label(const specification& source, std::uint64_t number) {
    std::string label = source.name + "-" + std::to_string(source.seed);
    if (!source.run.empty()) {
        label += "-" + source.run;
    }
    return label + "-" + std::to_string(number);
}

}  // namespace

generator::generator(specification source)
    : source_(std::move(source)),
      arrival_random_(base::hash_pair(source_.seed, arrival_stream)),
      content_random_(base::hash_pair(source_.seed, content_stream)),
      tenant_choice_(weights_of(source_.tenants)),
      kind_choice_(weights_of(source_.kinds)) {
    for (const corpus& entry : source_.corpora) {
        trees_.emplace(entry.name, prefix_tree(entry, source_.seed));
    }
}

std::optional<workload_request> generator::next() {
    if (next_number_ == source_.requests) {
        return std::nullopt;
    }
    workload_request drawn;
    if (pending_repeat_) {
        drawn = std::move(*pending_repeat_);
        pending_repeat_.reset();
    } else {
        drawn = draw();
    }
    drawn.number = next_number_;
    drawn.at = next_arrival();
    ++next_number_;
    return drawn;
}

base::duration generator::next_arrival() {
    const auto* open = std::get_if<open_arrivals>(&source_.arrival);
    if (open == nullptr) {
        return base::duration::zero();
    }
    const double gap = -std::log1p(-arrival_random_.unit()) / open->requests_per_second;
    clock_ += base::from_seconds(gap);
    return clock_;
}

std::uint64_t generator::shift_of(std::uint64_t number) const {
    const double share = static_cast<double>(number) / static_cast<double>(source_.requests);
    return static_cast<std::uint64_t>(
        std::count_if(source_.hot_set_shifts.begin(), source_.hot_set_shifts.end(),
                      [share](double shift) { return shift <= share; }));
}

workload_request generator::draw() {
    const request_kind& kind = source_.kinds[kind_choice_.draw(content_random_)];
    workload_request drawn;
    drawn.tenant = source_.tenants[tenant_choice_.draw(content_random_)].name;
    drawn.kind = kind.name;
    drawn.type = kind.type;
    drawn.path = kind.path;
    if (kind.type == request_type::generation) {
        fill_generation(kind, drawn);
    }
    if (kind.type == request_type::application_write) {
        fill_write(kind, drawn);
    }
    return drawn;
}

void generator::fill_generation(const request_kind& kind, workload_request& drawn) {
    const auto corpus_entry =
        std::find_if(source_.corpora.begin(), source_.corpora.end(),
                     [&kind](const corpus& entry) { return entry.name == kind.corpus; });
    std::string prompt = trees_.at(kind.corpus).draw(content_random_, shift_of(next_number_));
    drawn.shared_bytes = prompt.size();
    const std::size_t tail_bytes =
        draw_between(content_random_, corpus_entry->tail_bytes_min, corpus_entry->tail_bytes_max);
    // The label makes each prompt, and so each right answer, the request's own.
    prompt.push_back('[');
    prompt += request_label(source_, next_number_);
    prompt += "] ";
    prompt += make_text(content_random_.next(), tail_bytes);
    drawn.prompt = std::make_shared<const std::string>(std::move(prompt));
    drawn.stream = kind.stream;
    drawn.model = kind.model;
    drawn.max_tokens = draw_between(content_random_, kind.max_tokens_min, kind.max_tokens_max);
}

void generator::fill_write(const request_kind& kind, workload_request& drawn) {
    const std::string label = request_label(source_, next_number_);
    drawn.key.emplace(label);
    drawn.body = R"({"record":")" + label + R"(","value":")" +
                 make_text(content_random_.next(), kind.body_bytes) + R"("})";
    if (content_random_.unit() < kind.repeat_share) {
        pending_repeat_ = drawn;
        pending_repeat_->repeats = next_number_;
    }
}

}  // namespace ferryroad::bench::workload
