#include "ferryroad/router/request/request_metrics.hpp"

#include <string>

namespace ferryroad::router {

request_metrics::request_metrics(runtime::metrics& registry)
    : registry_(registry),
      attempts_(registry.counter_of("ferryroad_attempts_total", "Dispatches to engines.")),
      retries_(registry.counter_of("ferryroad_retries_total",
                                   "Dispatches after a request's first one.")),
      resumes_(registry.counter_of("ferryroad_resumes_total",
                                   "Broken streams taken up again at their engine.")),
      dropped_(registry.counter_of("ferryroad_answers_dropped_total",
                                   "Answers of ended or foreign exchanges.")),
      replayed_(registry.counter_of("ferryroad_outcomes_replayed_total",
                                    "Repeated keys answered from the record.")) {}

void request_metrics::request_ended(const ended_request& ended) {
    registry_
        .counter_of("ferryroad_executions_total", "Requests by route and state of execution.",
                    {{"route", ended.route.value},
                     {"execution", std::string(core::execution::to_string(ended.execution))}})
        .add();
    attempts_.add(ended.attempts);
    retries_.add(ended.attempts > 1 ? ended.attempts - 1 : 0);
    resumes_.add(ended.resumes);
    dropped_.add(ended.dropped_answers);
    replayed_.add(ended.replayed ? 1 : 0);
}

}  // namespace ferryroad::router
