# Install rules; the coordination library's package is in src/ferryroad/coordination.
install(TARGETS ferryctl ferrybench ferry-engine ferry-platform
        RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
