# Compiler settings, packages, and the functions that declare libraries, programs and tests.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS fiber context json url thread)
find_package(absl REQUIRED)
find_package(glog REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_library(MSGPUCK_LIBRARY msgpuck REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

# GCC 12 reports -Wrestrict for string concatenation that is correct (GCC bug 105651).
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -Wno-restrict)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED POLLENWALL_VERSION="${PROJECT_VERSION}")

# pollenwall_library(NAME SOURCES... [LINK targets...]): the library pollenwall_NAME of folder src/libNAME.
function(pollenwall_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(pollenwall_${name} STATIC ${arg_SOURCES})
  target_include_directories(pollenwall_${name} PUBLIC "${PROJECT_SOURCE_DIR}/src/include")
  target_link_libraries(pollenwall_${name} PUBLIC ${arg_LINK})
endfunction()

# pollenwall_program(NAME SOURCES... [LINK targets...]): a program, built into bin/ of the build directory.
function(pollenwall_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()

# pollenwall_test(NAME SOURCES... [LINK targets...]): a test program run by ctest. RapidCheck's seed is
# fixed so that every run gives the same result.
function(pollenwall_test name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_LINK} ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
endfunction()
