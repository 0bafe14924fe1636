# Build settings and functions that all packages share.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  add_link_options(-fuse-ld=mold)
endif()

set(DRAGONFLYWELL_SANITIZE "" CACHE STRING "Sanitizers to build with, as for -fsanitize.")
if(DRAGONFLYWELL_SANITIZE)
  set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
  add_compile_options(-fsanitize=${DRAGONFLYWELL_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${DRAGONFLYWELL_SANITIZE})
endif()

# add_package(NAME DEPENDS targets...): adds a static library from all source files of the current folder.
function(add_package name)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(target dragonflywell_${name})
  add_library(${target} STATIC ${sources})
  add_library(dragonflywell::${name} ALIAS ${target})
  target_include_directories(${target} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
    $<INSTALL_INTERFACE:include/dragonflywell>)
  target_link_libraries(${target} PUBLIC ${PACKAGE_DEPENDS})
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic)
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
endfunction()

# add_program(NAME SOURCES files... DEPENDS targets...): adds an executable.
function(add_program name)
  cmake_parse_arguments(PROGRAM "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${PROGRAM_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${PROGRAM_DEPENDS})
  target_compile_options(${name} PRIVATE -Wall -Wextra)
endfunction()
