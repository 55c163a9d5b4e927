# Install rules; the coordination library's package is in src/ferryroad/coordination.
include(GNUInstallDirs)
install(TARGETS ferryroad ferryctl ferrybench ferry-engine ferry-platform
        RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
