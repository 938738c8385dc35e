#include "router_flags.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace endivelatch {

namespace {

constexpr std::size_t shortest_fleet_key = 16;
constexpr std::size_t sha256_hex_length = 64;
constexpr std::uint64_t default_read_rate = 50;  ///< Platform calls a second.
constexpr std::uint64_t default_write_rate = 30; ///< Platform calls a second.
constexpr std::uint64_t highest_rate = 2'000;
constexpr std::uint64_t most_seats = 16;

bool is_hexadecimal(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void read_secrets(setting_reader& settings, router_settings& out)
{
    out.fleet_key = settings.required_text("fleet-key");
    if (!out.fleet_key.empty() && out.fleet_key.size() < shortest_fleet_key) {
        settings.fault("fleet-key", "is shorter than 16 bytes");
    }
    out.operator_key_hash = settings.required_text("operator-key-hash");
    const auto& hash = out.operator_key_hash;
    if (!hash.empty() && (hash.size() != sha256_hex_length || !is_hexadecimal(hash))) {
        settings.fault("operator-key-hash", "is not a SHA-256 in 64 lowercase hexadecimal digits");
    }
}

std::vector<std::string> read_platform_urls(setting_reader& settings)
{
    std::vector<std::string> urls;
    std::istringstream list{settings.required_text("platform")};
    std::string it;
    while (std::getline(list, it, ',')) {
        if (!it.starts_with("http://")) {
            settings.fault("platform", "\"" + it + "\" does not start with http://");
            continue;
        }
        urls.push_back(it);
    }
    return urls;
}

void check_log_level(setting_reader& settings, const std::string& level)
{
    constexpr std::array known{"debug", "info", "warn", "error"};
    if (std::find(known.begin(), known.end(), level) == known.end()) {
        settings.fault("log-level", "\"" + level + "\" is not debug, info, warn or error");
    }
}

} // namespace

result<router_flags> read_router_flags(setting_reader& settings)
{
    router_flags out;
    auto& self = out.router.self;
    self.id = router_id{settings.required_text("id")};
    if (self.id.str().find_first_of("@/ ") != std::string::npos) {
        settings.fault("id", "must not hold \"@\", \"/\" or spaces");
    }
    self.domain = domain_id{settings.required_text("failure-domain")};
    self.region = region_id{settings.required_text("region")};
    self.http = settings.address("http");
    self.link = settings.address("link");
    self.gossip = settings.address("gossip");
    out.router.seeds = settings.addresses("seeds");
    read_secrets(settings, out.router);
    out.platform_urls = read_platform_urls(settings);
    out.platform_read_rate = static_cast<double>(
        settings.number("platform-read-rate", default_read_rate, 1, highest_rate));
    out.platform_write_rate = static_cast<double>(
        settings.number("platform-write-rate", default_write_rate, 1, highest_rate));
    out.router.watchers_per_domain = static_cast<std::uint32_t>(
        settings.number("watch-seats", out.router.watchers_per_domain, 1, most_seats));
    out.log_level = settings.text("log-level", "info");
    check_log_level(settings, out.log_level);
    if (!settings.faults().empty()) {
        return settings.faults();
    }
    return out;
}

} // namespace endivelatch
