/// A program's library with the id of another build. The launcher must refuse to run it.
#include "ferryroad/launcher/product_entry.hpp"

namespace {

int run(int /*argument_count*/, char** /*arguments*/) {
    return 0;
}

}  // namespace

const ferryroad::launcher::product_entry ferryroad_product{FERRYROAD_BUILD_ID, run};
