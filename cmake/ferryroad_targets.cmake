# ferryroad_library(NAME DEPENDS target...): a static library from every *.cpp
# below the calling folder (header-only folders become an INTERFACE library).
function(ferryroad_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wshadow -Wno-missing-field-initializers)
  else()
    add_library(${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(
    ${name} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}> $<INSTALL_INTERFACE:include>)
  target_link_libraries(${name} ${scope} ${ARG_DEPENDS})
endfunction()

# ferryroad_tests(DEPENDS target...): one program and one CTest entry for each
# *_test.cpp of the calling folder. Its CTest name is its path below test/ with
# dots, as in coordination.membership.failure_detector; NAMED puts another name for the path.
function(ferryroad_tests)
  cmake_parse_arguments(ARG "" "TIMEOUT;NAMED" "DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  file(RELATIVE_PATH folder ${PROJECT_SOURCE_DIR}/test ${CMAKE_CURRENT_SOURCE_DIR})
  if(ARG_NAMED)
    set(folder ${ARG_NAMED})
  endif()
  foreach(source ${sources})
    get_filename_component(stem ${source} NAME_WE)
    string(REGEX REPLACE "_test$" "" stem ${stem})
    string(REPLACE "/" "." test_name "${folder}.${stem}")
    string(REPLACE "." "_" target "test_${test_name}")
    add_executable(${target} ${source})
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${target} PRIVATE ${ARG_DEPENDS} PkgConfig::CRITERION rapidcheck)
    add_test(NAME ${test_name} COMMAND ${target} --verbose=0)
    # Fixed seeds: the same verdict on each run.
    set_tests_properties(
      ${test_name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT
                              "RC_PARAMS=seed=20261202")
  endforeach()
endfunction()
