set(CORNELHILL_WARNINGS -Wall -Wextra -Wpedantic -Werror
    -Wno-missing-field-initializers
    # g++ 12 reports false positives for std::variant.
    -Wno-maybe-uninitialized)

# Adds the library cornelhill_NAME from src/NAME/*.cc, or the folder SOURCES, and, where tests/NAME
# holds sources, its one test program test_NAME. WHOLE_ARCHIVE links all of the
# library into its test program, for sources that only register themselves.
function(cornelhill_library name)
  cmake_parse_arguments(ARG "WHOLE_ARCHIVE" "SOURCES" "LINK" ${ARGN})
  if(NOT ARG_SOURCES)
    set(ARG_SOURCES src/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${ARG_SOURCES}/*.cc)
  set(target cornelhill_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC
        ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src)
    target_compile_options(${target} PRIVATE ${CORNELHILL_WARNINGS})
    target_link_libraries(${target} PUBLIC ${ARG_LINK})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE
        ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${target} INTERFACE ${ARG_LINK})
  endif()

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc)
  if(tests AND CORNELHILL_TESTS)
    add_executable(test_${name} ${tests})
    target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR})
    target_compile_options(test_${name} PRIVATE ${CORNELHILL_WARNINGS})
    if(ARG_WHOLE_ARCHIVE)
      set(linked $<LINK_LIBRARY:WHOLE_ARCHIVE,${target}>)
    else()
      set(linked ${target})
    endif()
    target_link_libraries(test_${name} PRIVATE ${linked} PkgConfig::CRITERION)
    add_test(NAME ${name} COMMAND test_${name}
             WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  endif()
endfunction()

# Adds a library from the committed protobuf sources.
function(cornelhill_generated name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/wire/gen/*.pb.cc)
  add_library(cornelhill_${name} STATIC ${sources})
  target_include_directories(cornelhill_${name} SYSTEM PUBLIC
      ${CMAKE_SOURCE_DIR}/src/wire/gen)
  target_link_libraries(cornelhill_${name} PUBLIC protobuf::libprotobuf)
endfunction()

# Adds a program from DIR/*.cc without the source EXCLUDE.
function(cornelhill_program name dir)
  cmake_parse_arguments(ARG "" "EXCLUDE" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${dir}/*.cc)
  if(ARG_EXCLUDE)
    list(FILTER sources EXCLUDE REGEX "/${ARG_EXCLUDE}\\.cc$")
  endif()
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${CORNELHILL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds one program for each bench/*_bench.cc (Google Benchmark) and each
# bench/measure_*.cc (prints one line of key=value pairs).
function(cornelhill_benches)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*.cc)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
    target_compile_options(${name} PRIVATE ${CORNELHILL_WARNINGS})
    target_link_libraries(${name} PRIVATE cornelhill_agent
        cornelhill_test_support cornelhill_control
        cornelhill_ingress cornelhill_config cornelhill_observe
        benchmark::benchmark absl::flags absl::flags_parse)
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
  endforeach()
endfunction()

# Makes the imported targets of Abseil stand for its archives.
function(cornelhill_static_absl)
  file(GLOB archives /usr/lib/${CMAKE_LIBRARY_ARCHITECTURE}/libabsl_*.a)
  foreach(archive ${archives})
    string(REGEX REPLACE ".*/libabsl_(.*)\\.a$" "absl::\\1" target ${archive})
    if(TARGET ${target})
      set_target_properties(${target} PROPERTIES
          IMPORTED_LOCATION_NONE ${archive} IMPORTED_LOCATION ${archive})
    endif()
  endforeach()
endfunction()
