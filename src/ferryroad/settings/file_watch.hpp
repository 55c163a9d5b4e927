/// @file
/// Detects changes of a settings file by polling, for deployments that send no reload signal.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

namespace ferryroad::settings {

/// Compares a file's modification time and size with those at the last check. Not thread-safe.
class file_watch {
  public:
    /// The file's present state is the baseline of the first check.
    explicit file_watch(std::string file) : m_file(std::move(file)) { changed(); }

    /// @return whether the file has changed since the last check; false where it can't be read.
    bool changed() {
        std::error_code failure;
        const auto time = std::filesystem::last_write_time(m_file, failure);
        if (failure) {
            return false;
        }
        const std::uintmax_t size = std::filesystem::file_size(m_file, failure);
        if (failure || (time == m_time && size == m_size)) {
            return false;
        }
        m_time = time;
        m_size = size;
        return true;
    }

  private:
    std::string m_file;
    std::filesystem::file_time_type m_time{};
    std::uintmax_t m_size = 0;
};

}  // namespace ferryroad::settings
