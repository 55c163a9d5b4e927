/// @file
/// Tells when a settings file was changed, also where nobody sends a signal.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

namespace ferryroad::settings {

/// Compares a file's time of change and size with those last seen. Not thread-safe.
class file_watch {
  public:
    /// What is there now counts as seen.
    explicit file_watch(std::string file) : m_file(std::move(file)) { changed(); }

    /// @return whether the file differs from what was last seen; an unreadable one does not.
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
