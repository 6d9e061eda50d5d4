# gb_module(NAME SOURCES ... LIBS ...): a static library of one module.
# gb_tests(NAME SOURCES ... LIBS ...): its test program, registered with CTest
#   case by case, with a fixed seed for the property tests.
# gb_benchmark(NAME SOURCES ... LIBS ...): a Google Benchmark program; it is
#   built but not run by CTest.
if(GB_TESTS)
  include(GoogleTest)
endif()

# GCC 12 takes the storage of a LEAF result for uninitialised where it is not.
set(GB_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wno-maybe-uninitialized)
set(GB_RC_PARAMS "seed=20261202 max_success=200" CACHE STRING
    "Parameters of the property tests")

function(gb_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE ${GB_WARNINGS})
  target_link_libraries(${NAME} PUBLIC ${ARG_LIBS})
endfunction()

function(gb_tests NAME)
  if(NOT GB_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE ${GB_WARNINGS})
  target_link_libraries(${NAME} PRIVATE ${ARG_LIBS} GTest::gtest_main
                        ${RAPIDCHECK_LIBRARY})
  gtest_discover_tests(${NAME} PROPERTIES
    ENVIRONMENT "RC_PARAMS=${GB_RC_PARAMS}" TIMEOUT 120)
endfunction()

function(gb_benchmark NAME)
  if(NOT GB_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_options(${NAME} PRIVATE ${GB_WARNINGS})
  target_link_libraries(${NAME} PRIVATE ${ARG_LIBS} benchmark::benchmark_main)
endfunction()
