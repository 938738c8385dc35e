#include "endivelatch/entry/settings_file.hpp"

#include <fstream>
#include <sstream>

#include <sys/stat.h>

namespace endivelatch {

std::optional<settings_file::file_version> settings_file::read_version() const
{
    struct stat info {};
    if (stat(path_.c_str(), &info) != 0) {
        return std::nullopt;
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return file_version{info.st_mtim.tv_sec * ns_per_s + info.st_mtim.tv_nsec, info.st_size,
                        info.st_ino};
}

std::optional<std::string> settings_file::read()
{
    last_read_version_ = read_version();
    std::ifstream in{path_, std::ios::binary};
    if (!in) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

bool settings_file::has_changed() const
{
    const auto version = read_version();
    return version && version != last_read_version_;
}

} // namespace endivelatch
