#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace endivelatch {

/// A settings file that may be replaced while the process runs.
class settings_file {
public:
    explicit settings_file(std::string path) : path_{std::move(path)} {}

    /// Returns the content, or nothing when the file cannot be read.
    std::optional<std::string> read();

    /// Returns whether the file differs from the one read last, by time, size or place.
    bool has_changed() const;

    /// Returns the path.
    const std::string& path() const { return path_; }

private:
    /// What tells one state of a file from another.
    struct stamp {
        std::int64_t modified_ns = 0;
        std::int64_t size = 0;
        std::uint64_t inode = 0;

        friend bool operator==(const stamp&, const stamp&) = default;
    };

    std::optional<stamp> current() const;

    std::string path_;
    std::optional<stamp> read_stamp_;
};

} // namespace endivelatch
