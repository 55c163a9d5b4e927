/// @file
/// Test double of the engine directory; tests add the engines.
#pragma once

#include "ferryroad/router/engine_directory.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace ferryroad::test {

class fake_directory final : public router::engine_directory {
  public:
    std::vector<router::engine_view> engines;

    router::engine_view& add(const std::string& name, std::uint64_t queued_prefill_tokens = 0) {
        router::engine_view view;
        view.target = {base::engine_name(name), {"127.0.0.1", 1}, base::incarnation(1)};
        view.load.queued_prefill_tokens = queued_prefill_tokens;
        view.load.prefill_tokens_per_second = 10000;
        engines.push_back(view);
        return engines.back();
    }

    std::vector<router::engine_view> available(const base::pool_name&) const override {
        return engines;
    }
    std::optional<router::engine_view> find(const base::engine_name& engine) const override {
        const auto found = std::find_if(
            engines.begin(), engines.end(),
            [&](const router::engine_view& each) { return each.target.name == engine; });
        return found == engines.end() ? std::nullopt : std::optional(*found);
    }
    void record_dispatch(const base::engine_name&, std::uint64_t) override {}
    void record_end(const base::engine_name&) override {}
    void record_load(const base::engine_name&, const engine::load_report&) override {}
    void record_failure(const base::engine_name&, engine::error_code) override {}
    void record_leaving(const base::engine_name&, base::incarnation) override {}
};

}  // namespace ferryroad::test
