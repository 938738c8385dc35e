#include "endivelatch/entry/settings_file.hpp"

#include <fstream>
#include <sstream>

#include <sys/stat.h>

namespace endivelatch {

std::optional<settings_file::stamp> settings_file::current() const
{
    struct stat facts {};
    if (stat(path_.c_str(), &facts) != 0) {
        return std::nullopt;
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return stamp{facts.st_mtim.tv_sec * ns_per_s + facts.st_mtim.tv_nsec, facts.st_size,
                 facts.st_ino};
}

std::optional<std::string> settings_file::read()
{
    read_stamp_ = current();
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
    const auto now = current();
    return now && now != read_stamp_;
}

} // namespace endivelatch
