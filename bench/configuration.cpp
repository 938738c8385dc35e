#include "configuration/configuration_simulation.cpp" // NOLINT(bugprone-suspicious-include)
#include "endivelatch/configuration/object_names.hpp"
#include "endivelatch/configuration/parse.hpp"

#include <cstdio>
#include <malloc.h>
#include <map>
#include <nlohmann/json.hpp>

/// Measures the propagation, start-up and memory cost of the configuration.
namespace {

using namespace endivelatch;

constexpr std::size_t organisations = 3300;
constexpr std::size_t targets = 5300;
constexpr double changes_per_second = 15'000.0 / 86'400;

using stored_objects = std::vector<std::pair<std::string, std::string>>;

/// Returns the stored objects with all organisations and targets of the largest deployment.
stored_objects make_largest_configuration()
{
    std::map<std::string, nlohmann::json> all;
    const auto add = [&](config_kind kind, const std::string& id, const std::string& entry) {
        auto& object = all[config_object_name(kind, id)];
        object["entries"][id] = nlohmann::json::parse(entry);
        object["entries"][id]["changed"] = {{"by", "operator"},
                                            {"at_us", 1'800'000'000'000'000},
                                            {"change", "r1.1.1"},
                                            {"revision", 1}};
        object["changes"] = nlohmann::json::array();
    };
    for (std::size_t n = 0; n < organisations; ++n) {
        organisation_document it;
        it.key_hashes = {std::string(64, 'a')};
        it.models = {"model-1", "model-2", "model-3"};
        add(config_kind::organisations, "organisation-" + std::to_string(n), to_json_text(it));
    }
    for (std::size_t n = 0; n < targets; ++n) {
        target_document it;
        it.pool = pool_id{"pool-" + std::to_string(n % 5)};
        it.domain = domain_id{"domain-" + std::to_string(n % 8)};
        it.region = region_id{"region-" + std::to_string(n % 2)};
        it.url = "http://10.0.0.1:9001";
        add(config_kind::targets, "target-" + std::to_string(n), to_json_text(it));
    }
    stored_objects out;
    for (const auto& [name, document] : all) {
        out.emplace_back(name, document.dump());
    }
    return out;
}

configuration_simulation_settings settings_for(std::size_t routers, stored_objects stored)
{
    configuration_simulation_settings out;
    out.routers = routers;
    out.watchers = std::min<std::size_t>(routers, routers > 64 ? 24 : 3);
    out.stored = std::move(stored);
    return out;
}

/// Returns only the object that holds `target-1`.
stored_objects target_object(const stored_objects& all)
{
    const auto name = config_object_name(config_kind::targets, "target-1");
    for (const auto& it : all) {
        if (it.first == name) {
            return {it};
        }
    }
    return {};
}

/// Measures how long a change takes to reach all routers when the platform becomes unavailable
/// right after accepting it.
void measure_spread(std::size_t routers, const stored_objects& stored)
{
    constexpr std::size_t changes = 10;
    constexpr std::chrono::seconds limit{30};
    configuration_simulation simulation{1, settings_for(routers, stored)};
    const auto name = config_object_name(config_kind::targets, "target-1");
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    int max_spread_ms = 0;
    int max_accept_ms = 0;
    for (std::size_t n = 0; n < changes; ++n) {
        const auto responses_before = simulation.responses().size();
        const auto bytes_before = simulation.message_bytes();
        const auto messages_before = simulation.messages();
        simulation.change_target(n * 7 % routers, "target-1");
        int waited_ms = 0;
        for (; simulation.responses().size() == responses_before; ++waited_ms) {
            simulation.run_for(std::chrono::milliseconds{1});
        }
        max_accept_ms = std::max(max_accept_ms, waited_ms);
        simulation.platform().faults.down = true;
        const auto response = nlohmann::json::parse(simulation.responses().back().json);
        const object_version version{response.value("object_version", std::uint64_t{0})};
        int spread_ms = 0;
        while (simulation.count_holders(name, version) < routers &&
               spread_ms < limit / std::chrono::milliseconds{1}) {
            simulation.run_for(std::chrono::milliseconds{1});
            ++spread_ms;
        }
        max_spread_ms = std::max(max_spread_ms, spread_ms);
        simulation.run_for(std::chrono::seconds{3});
        bytes += simulation.message_bytes() - bytes_before;
        messages += simulation.messages() - messages_before;
        simulation.platform().faults.down = false;
        simulation.run_for(std::chrono::seconds{3});
    }
    const auto per_router = static_cast<double>(bytes) / static_cast<double>(changes * routers);
    std::printf(
        "bench=configuration_spread routers=%zu changes=%zu object_bytes=%zu accept_ms=%d "
        "everywhere_ms=%d bytes_per_change_per_router=%.0f messages_per_change_per_router=%.2f "
        "bytes_per_s_at_15000_a_day=%.0f\n",
        routers, changes, stored.front().second.size(), max_accept_ms, max_spread_ms, per_router,
        static_cast<double>(messages) / static_cast<double>(changes * routers),
        per_router * changes_per_second);
}

/// Measures how long routers take to load their configuration when an eighth of them restart at
/// once.
void measure_boot(std::size_t routers, const stored_objects& stored)
{
    configuration_simulation simulation{1, settings_for(routers, stored)};
    const auto reads = simulation.platform().reads;
    const auto bytes = simulation.message_bytes();
    const auto count = routers / 8;
    for (std::size_t n = 0; n < count; ++n) {
        simulation.restart(routers - 1 - n);
    }
    int waited_ms = 0;
    const auto all_ready = [&] {
        for (std::size_t n = 0; n < count; ++n) {
            if (!simulation.store(routers - 1 - n).ready()) {
                return false;
            }
        }
        return true;
    };
    while (!all_ready() && waited_ms < 30'000) {
        simulation.run_for(std::chrono::milliseconds{1});
        ++waited_ms;
    }
    std::printf(
        "bench=configuration_boot routers=%zu restarted=%zu ready_ms=%d platform_reads=%llu "
        "bytes_per_restart=%.0f\n",
        routers, count, waited_ms,
        static_cast<unsigned long long>(simulation.platform().reads - reads),
        static_cast<double>(simulation.message_bytes() - bytes) / static_cast<double>(count));
}

void measure_memory(const stored_objects& stored, double share)
{
    platform_call_id_source calls;
    const auto before = mallinfo2().uordblks;
    configuration_store store{router_id{"r1"}, 1, {}, calls};
    config_update update;
    const auto count = static_cast<std::size_t>(share * static_cast<double>(stored.size()));
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < count; ++n) {
        bytes += stored[n].second.size();
        store.on_config_update(router_id{"r2"},
                               {{{stored[n].first, object_version{n + 1}, stored[n].second}}},
                               time_point{});
    }
    const auto used = mallinfo2().uordblks - before;
    const auto entries = store.current().organisations.size() + store.current().targets.size();
    std::printf("bench=configuration_memory entries=%zu stored_bytes=%zu memory_bytes=%zu "
                "bytes_per_entry=%.0f\n",
                entries, bytes, used, static_cast<double>(used) / static_cast<double>(entries));
}

} // namespace

int main()
{
    const auto all = make_largest_configuration();
    for (const double it : {0.25, 0.5, 1.0}) {
        measure_memory(all, it);
    }
    for (const std::size_t it : {8, 64, 512, 1700}) {
        measure_spread(it, target_object(all));
    }
    measure_boot(16, all);
    for (const std::size_t it : {64, 512, 1700}) {
        measure_boot(it, target_object(all));
    }
    return 0;
}
