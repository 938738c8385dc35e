# Compiler warnings and include directories shared by all targets of the project.
add_library(endivelatch_options INTERFACE)
target_compile_options(endivelatch_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
if(ENDIVELATCH_TESTS)
  # Only in development builds: g++ 12 reports false positives at -O3, which deployment builds use.
  target_compile_options(endivelatch_options INTERFACE -Werror)
endif()
target_include_directories(endivelatch_options INTERFACE ${CMAKE_SOURCE_DIR}/include)

# Adds the library `endivelatch_<name>` from the sources in the current directory, and its test
# program `test_<name>` from tests/<name>/*.cpp.
# DEPENDS lists public link dependencies; PRIVATE_DEPENDS lists those that its headers do not use.
function(endivelatch_library name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "DEPENDS;PRIVATE_DEPENDS")
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(library endivelatch_${name})
  add_library(${library} STATIC ${sources})
  target_link_libraries(${library} PUBLIC endivelatch_options ${arg_DEPENDS}
                                   PRIVATE ${arg_PRIVATE_DEPENDS})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cpp)
  if(tests AND ENDIVELATCH_TESTS)
    add_executable(test_${name} ${tests})
    target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(test_${name} PRIVATE ${library} rapidcheck GTest::gmock GTest::gtest_main)
    add_test(NAME ${name} COMMAND test_${name})
  endif()
endfunction()
