# The libraries ferryroad is built on, each behind one target of ours, so that a
# folder names what it uses and nothing else reaches it.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(OpenSSL REQUIRED)
find_package(CLI11 CONFIG REQUIRED)
find_package(Protobuf REQUIRED)
find_package(gRPC CONFIG REQUIRED)
find_package(rapidcheck CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
