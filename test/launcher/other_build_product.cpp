/// A program's library that another build made. It must not be run.
#include "ferryroad/launcher/product_entry.hpp"

namespace {

int run(int /*argument_count*/, char** /*arguments*/) {
    return 0;
}

}  // namespace

const ferryroad::launcher::product_entry ferryroad_product{FERRYROAD_BUILD_ID, run};
