# Identifies a build by its sources: a launcher runs only the library that was built with it.
file(GLOB_RECURSE product_sources ${PROJECT_SOURCE_DIR}/src/*.[ch]pp
     ${PROJECT_SOURCE_DIR}/platform/*.[ch]pp)
set(digests "${CMAKE_BUILD_TYPE} ${CMAKE_CXX_FLAGS}")
foreach(source ${product_sources})
  file(SHA256 ${source} digest)
  string(APPEND digests " ${digest}")
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING ${digest} 0 16 digest)
set(FERRYROAD_BUILD_ID "${PROJECT_VERSION}+${digest}")

# ferryroad_router_program(NAME SOURCES file... DEPENDS target...): the executable bin/NAME, which
# depends on the C library alone, and the library lib/ferryroad/NAME.so with everything else.
function(ferryroad_router_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(library_folder ${CMAKE_INSTALL_LIBDIR}/ferryroad)

  add_library(${name}-product MODULE ${ARG_SOURCES})
  target_link_libraries(${name}-product PRIVATE ${ARG_DEPENDS})
  target_include_directories(${name}-product PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_definitions(${name}-product PRIVATE FERRYROAD_BUILD_ID="${FERRYROAD_BUILD_ID}")
  set_target_properties(
    ${name}-product PROPERTIES PREFIX "" OUTPUT_NAME ${name}
                               LIBRARY_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/${library_folder})

  add_executable(${name} ${PROJECT_SOURCE_DIR}/src/ferryroad/launcher/launcher.cpp)
  add_dependencies(${name} ${name}-product)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_definitions(
    ${name} PRIVATE FERRYROAD_BUILD_ID="${FERRYROAD_BUILD_ID}"
                    FERRYROAD_PRODUCT_LIBRARY="$ORIGIN/../${library_folder}/${name}.so")
  # Leaves out the C++ runtime, which nothing here uses.
  target_link_options(${name} PRIVATE LINKER:--as-needed)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)

  install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  install(TARGETS ${name}-product LIBRARY DESTINATION ${library_folder})
endfunction()
