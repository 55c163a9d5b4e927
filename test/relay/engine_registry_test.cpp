/// Which engines a router says that it loads: those it has requests at, and those that refuse.
#include "ferryroad/relay/engine_registry.hpp"

#include <criterion/criterion.h>

#include <optional>

using namespace ferryroad;
using namespace ferryroad::relay;
using namespace std::chrono_literals;

namespace {

const base::monotonic_time start{};

engine_registry registry_of(int engines) {
    engine_registry registry;
    for (int number = 0; number < engines; ++number) {
        listed_engine one;
        one.name.value = "e" + std::to_string(number);
        registry.put(one);
    }
    return registry;
}

}  // namespace

Test(engine_registry, an_engine_is_active_while_it_has_requests) {
    engine_registry registry = registry_of(3);
    cr_assert(registry.active(start).empty());
    std::optional<engine_load> first(std::in_place, registry, base::engine_name("e1"), 10);
    {
        const engine_load second(registry, base::engine_name("e1"), 20);
        cr_assert_eq(registry.active(start).size(), 1);
    }
    const auto active = registry.active(start);
    cr_assert_eq(active.size(), 1);
    cr_assert_eq(active.front()->running, 1);
    first.reset();
    cr_assert(registry.active(start).empty());
}

Test(engine_registry, an_engine_that_refused_is_active_until_its_pause_has_passed) {
    engine_registry registry = registry_of(2);
    {
        const engine_load sent(registry, base::engine_name("e0"), 10);
        registry.find(base::engine_name("e0"))->refuses_until = start + 150ms;
    }
    cr_assert_eq(registry.active(start).size(), 1);
    cr_assert(registry.active(start + 150ms).empty());
}

Test(engine_registry, an_engine_that_is_gone_is_not_active) {
    engine_registry registry = registry_of(2);
    const engine_load sent(registry, base::engine_name("e0"), 10);
    registry.remove(base::engine_name("e0"));
    cr_assert(registry.active(start).empty());
}

Test(engine_registry, the_list_is_as_old_as_its_newest_confirmation) {
    engine_registry registry;
    cr_assert(registry.age(start) == base::duration::max());
    registry.confirm(start + 300ms);
    registry.confirm(start + 100ms);  // Told late, by another source.
    cr_assert(registry.age(start + 450ms) == 150ms);
}
