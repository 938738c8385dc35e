#include "router_flags.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace endivelatch {

namespace {

constexpr std::size_t min_fleet_key_size = 16;
constexpr std::size_t sha256_hex_length = 64;
constexpr std::uint64_t default_read_rate = 50;  ///< Platform calls per second.
constexpr std::uint64_t default_write_rate = 30; ///< Platform calls per second.
constexpr std::uint64_t max_platform_rate = 2'000;
constexpr std::uint64_t max_watch_seats = 16;

bool is_hexadecimal(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void read_secrets(setting_reader& settings, router_settings& out)
{
    out.fleet_key = settings.required_string("fleet-key");
    if (!out.fleet_key.empty() && out.fleet_key.size() < min_fleet_key_size) {
        settings.add_error("fleet-key", "is shorter than 16 bytes");
    }
    out.operator_key_hash = settings.required_string("operator-key-hash");
    const auto& hash = out.operator_key_hash;
    if (!hash.empty() && (hash.size() != sha256_hex_length || !is_hexadecimal(hash))) {
        settings.add_error("operator-key-hash",
                           "is not a SHA-256 hash in 64 lowercase hexadecimal digits");
    }
}

std::vector<std::string> read_platform_urls(setting_reader& settings)
{
    std::vector<std::string> urls;
    std::istringstream list{settings.required_string("platform")};
    std::string url;
    while (std::getline(list, url, ',')) {
        if (!url.starts_with("http://")) {
            settings.add_error("platform", "\"" + url + "\" does not start with http://");
            continue;
        }
        urls.push_back(url);
    }
    return urls;
}

void check_log_level(setting_reader& settings, const std::string& level)
{
    constexpr std::array levels{"debug", "info", "warn", "error"};
    if (std::find(levels.begin(), levels.end(), level) == levels.end()) {
        settings.add_error("log-level", "\"" + level + "\" is not debug, info, warn or error");
    }
}

} // namespace

result<router_flags> read_router_flags(setting_reader& settings)
{
    router_flags out;
    auto& self = out.router.self;
    self.id = router_id{settings.required_string("id")};
    if (self.id.str().find_first_of("@/ ") != std::string::npos) {
        settings.add_error("id", "must not contain \"@\", \"/\" or spaces");
    }
    self.domain = domain_id{settings.required_string("failure-domain")};
    self.region = region_id{settings.required_string("region")};
    self.http = settings.address("http");
    self.link = settings.address("link");
    self.gossip = settings.address("gossip");
    out.router.seeds = settings.addresses("seeds");
    read_secrets(settings, out.router);
    out.platform_urls = read_platform_urls(settings);
    out.platform_read_rate = static_cast<double>(
        settings.number("platform-read-rate", default_read_rate, 1, max_platform_rate));
    out.platform_write_rate = static_cast<double>(
        settings.number("platform-write-rate", default_write_rate, 1, max_platform_rate));
    out.router.watchers_per_domain = static_cast<std::uint32_t>(
        settings.number("watch-seats", out.router.watchers_per_domain, 1, max_watch_seats));
    out.log_level = settings.string("log-level", "info");
    check_log_level(settings, out.log_level);
    if (!settings.errors().empty()) {
        return settings.errors();
    }
    return out;
}

} // namespace endivelatch
