# One package: a library bulrushpitch_<name> from src/*.cpp (but for main.cpp), and one doctest program from
# tests/*_test.cpp.
find_package(Threads REQUIRED)

# g++ 12 takes the frame allocator of Asio coroutines for a mismatched operator delete when it inlines only one of
# the two.
set(BULRUSHPITCH_WARNINGS -Wall -Wextra -Wpedantic -Wshadow $<$<BOOL:${BULRUSHPITCH_WERROR}>:-Werror> $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)

function(bulrushpitch_options target)
  target_compile_options(${target} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-fcoroutines> ${BULRUSHPITCH_WARNINGS})
  target_link_options(${target} PRIVATE -fuse-ld=lld)
  if(BULRUSHPITCH_SANITIZE)
    # With sanitizers, g++ 12 takes empty optionals in Beast and Cap'n Proto for uninitialised.
    target_compile_options(${target} PRIVATE -fsanitize=${BULRUSHPITCH_SANITIZE} -fno-omit-frame-pointer
                                             -Wno-maybe-uninitialized)
    target_link_options(${target} PRIVATE -fsanitize=${BULRUSHPITCH_SANITIZE})
  endif()
endfunction()

# bulrushpitch_package(name [DEPENDS libraries...] [TEST_DEPENDS libraries...])
function(bulrushpitch_package name)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "DEPENDS;TEST_DEPENDS")
  set(target bulrushpitch_${name})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/generated/*.c++)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  if(sources)
    add_library(${target} STATIC ${sources})
    bulrushpitch_options(${target})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS} Threads::Threads)
  endif()

  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cpp)
  if(tests AND BULRUSHPITCH_TESTS)
    set(test_target bulrushpitch_${name}_tests)
    add_executable(${test_target} ${tests})
    bulrushpitch_options(${test_target})
    target_include_directories(${test_target} PRIVATE tests)
    target_link_libraries(${test_target} PRIVATE ${target} ${ARG_TEST_DEPENDS} bulrushpitch_doctest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${test_target})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
