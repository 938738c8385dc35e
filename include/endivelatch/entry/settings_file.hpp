#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace endivelatch {

/// A settings file that may change while the process runs.
class settings_file {
public:
    explicit settings_file(std::string path) : path_{std::move(path)} {}

    /// Returns the content, or nothing if the file cannot be read.
    std::optional<std::string> read();

    /// Returns whether modification time, size or inode differ from those at the last read.
    bool has_changed() const;

    const std::string& path() const { return path_; }

private:
    /// Metadata that identify a version of the file.
    struct file_version {
        std::int64_t modified_ns = 0;
        std::int64_t size = 0;
        std::uint64_t inode = 0;

        friend bool operator==(const file_version&, const file_version&) = default;
    };

    std::optional<file_version> read_version() const;

    std::string path_;
    std::optional<file_version> last_read_version_;
};

} // namespace endivelatch
