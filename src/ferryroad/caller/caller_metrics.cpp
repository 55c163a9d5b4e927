#include "ferryroad/caller/caller_metrics.hpp"

#include <string>
#include <vector>

namespace ferryroad::caller {

namespace {

const std::vector<double>& time_bounds() {
    static const std::vector<double> bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                            1,     2.5,  5,     10,   30,  60};
    return bounds;
}

}  // namespace

caller_metrics::caller_metrics(runtime::metrics& registry)
    : registry_(registry),
      active_(registry.gauge_of("ferryroad_requests_active", "Callers' requests at work.")),
      first_token_(registry.histogram_of("ferryroad_first_token_seconds",
                                         "Time from a request's arrival to its first token.",
                                         time_bounds())),
      unreadable_(registry.counter_of("ferryroad_requests_unreadable_total",
                                      "Malformed or oversized requests that the server refused.")),
      tokens_(registry.counter_of("ferryroad_tokens_total", "Tokens answered.")),
      prompt_tokens_(
          registry.counter_of("ferryroad_prompt_tokens_total", "Prompt tokens of answers.")),
      cached_tokens_(registry.counter_of("ferryroad_cached_prompt_tokens_total",
                                         "Prompt tokens that engines had cached.")) {}

void caller_metrics::request_ended(std::string_view api, std::string_view outcome,
                                   base::duration taken) {
    active_.add(-1);
    const runtime::metric_labels labels{{"api", std::string(api)},
                                        {"outcome", std::string(outcome)}};
    registry_
        .counter_of("ferryroad_requests_total", "Callers' requests by interface and outcome.",
                    labels)
        .add();
    registry_
        .histogram_of("ferryroad_request_seconds", "Time from a request's arrival to its end.",
                      time_bounds(), {{"api", std::string(api)}})
        .observe(base::to_seconds(taken));
}

void caller_metrics::prompt_tokens(double total, double cached) {
    prompt_tokens_.add(total);
    cached_tokens_.add(cached);
}

}  // namespace ferryroad::caller
