# Installs the libraries for use in other projects with find_package(dragonflywell), and the programs.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS dragonflywell_core dragonflywell_coordination dragonflywell_fleet dragonflywell_policy
  EXPORT dragonflywellTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(TARGETS dragonflywelld dragonflywellctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
foreach(layer core coordination fleet policy)
  install(DIRECTORY ${PROJECT_SOURCE_DIR}/${layer} DESTINATION include/dragonflywell FILES_MATCHING PATTERN "*.hpp")
endforeach()
install(EXPORT dragonflywellTargets NAMESPACE dragonflywell::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflywell)
configure_package_config_file(${CMAKE_CURRENT_LIST_DIR}/dragonflywellConfig.cmake.in
  ${CMAKE_BINARY_DIR}/dragonflywellConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflywell)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/dragonflywellConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/dragonflywellConfig.cmake ${CMAKE_BINARY_DIR}/dragonflywellConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflywell)
