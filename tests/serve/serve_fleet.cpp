#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace endivelatch::serve {

namespace {

constexpr int ports_per_router = 8;
constexpr int replica_count = 3;
/// Bytes of a response that are kept; larger ones come from replicas that send without end.
constexpr std::size_t max_kept_body = 1'048'576;

/// Returns a port below the ephemeral range. It depends on the process ID, so that parallel test
/// processes use different ports.
int choose_first_port()
{
    constexpr int first = 12'000;
    constexpr int span = 16'000;
    return first + (static_cast<int>(getpid()) * 64) % span;
}

} // namespace

serve_fleet::serve_fleet(int count, network_path path, stated_limits limits)
    : client_connections{loop,
                         {[this](outgoing_id id, response_head&& head) {
                              responses[id].status = head.status;
                              responses[id].headers = std::move(head.headers);
                          },
                          [this](outgoing_id id, std::string_view bytes) {
                              auto& body = responses[id].body;
                              body += bytes.substr(0, max_kept_body - body.size());
                          },
                          [this](outgoing_id id) {
                              responses[id].is_complete = true;
                              responses[id].has_ended = true;
                          },
                          [this](outgoing_id id, request_failure&&) {
                              responses[id].has_ended = true;
                          }}},
      router_count_{count}, limits_{limits}, port_base_{choose_first_port()},
      dir_{testing::TempDir() + "endivelatch-serve-" + std::to_string(getpid())}
{
    std::filesystem::create_directories(dir_);
    for (int n = 1; n <= replica_count; ++n) {
        replicas.push_back(
            std::make_unique<standins::replica_standin>(loop, "i-" + std::to_string(n), "pool"));
    }
    if (path == network_path::through_proxies) {
        const endpoint any_port{"127.0.0.1", 0};
        store_proxy = std::make_unique<standins::tcp_proxy>(loop, any_port, store.address());
        for (const auto& it : replicas) {
            replica_proxies.push_back(
                std::make_unique<standins::tcp_proxy>(loop, any_port, it->address()));
        }
    }
    for (int n = 1; n <= count && path == network_path::own_store_proxies; ++n) {
        store_proxies[n] =
            std::make_unique<standins::tcp_proxy>(loop, endpoint{"127.0.0.1", 0}, store.address());
    }
    for (std::size_t n = 0; n < replicas.size(); ++n) {
        store.put("servers", replicas[n]->id(), registration(n));
    }
    write_configuration(1);
    for (int n = 1; n <= count; ++n) {
        start(n);
    }
    wait_until_ready();
}

serve_fleet::~serve_fleet()
{
    routers.clear();
    std::filesystem::remove_all(dir_);
}

endpoint serve_fleet::address(int router, int offset) const
{
    return {"127.0.0." + std::to_string(router), static_cast<std::uint16_t>(port_base_ + offset)};
}

void serve_fleet::silence_store(int router)
{
    store_proxies.at(router)->stall_new_connections(true);
    store_proxies.at(router)->stall_open_connections();
}

void serve_fleet::restore_store(int router)
{
    store_proxies.at(router)->stall_new_connections(false);
    store_proxies.at(router)->close_open_connections();
}

endpoint serve_fleet::store_address(int router) const
{
    if (const auto own = store_proxies.find(router); own != store_proxies.end()) {
        return {"127.0.0.1", own->second->port()};
    }
    return store_proxy ? endpoint{"127.0.0.1", store_proxy->port()} : store.address();
}

nlohmann::json serve_fleet::registration(std::size_t replica, const std::string& state) const
{
    auto object = replicas[replica]->registration(state);
    if (!replica_proxies.empty()) {
        object["Address"] = "127.0.0.1:" + std::to_string(replica_proxies[replica]->port());
    }
    return object;
}

std::string serve_fleet::settings_path(int router) const
{
    return dir_ + "/boot-" + std::to_string(router) + ".toml";
}

std::string serve_fleet::settings(int router) const
{
    const auto text = [&](int offset) {
        const auto where = address(router, offset);
        return '"' + where.address + ":" + std::to_string(where.port) + '"';
    };
    const auto limit = [](const std::string& name, int value) {
        return value == 0 ? std::string{} : name + " = " + std::to_string(value) + "\n";
    };
    std::ostringstream out;
    out << "NodeName = \"edge-" << router << "\"\nZone = \"zone\"\nRegion = \"region\"\nIp = \""
        << address(router, 0).address << "\"\nInternalPorts = [" << port_base_ + 4 << ","
        << port_base_ + ports_per_router << "]\nSeeds = [\"" << address(1, 0).address
        << ":1\"]\n[Listen]\nFrontend = " << text(0) << "\nReadiness = " << text(1)
        << "\nDirectory = " << text(2) << "\n[Limits]\nLinkMbps = 10.0\n"
        << limit("MemoryMb", limits_.memory_mb) << limit("MaxFds", limits_.descriptors)
        << "[Bounds]\nGraceS = 4\nRetryBudgetRatio = 0.2\n"
        << "RetrySlack = 50\nCapFactor = 2\nttl_max_s = 5\n"
        << limit("EvacuateMs", limits_.evacuate_ms) << "[Platform]\nAddress = \""
        << store_address(router).address << ":" << store_address(router).port << "\"\n";
    return out.str();
}

void serve_fleet::start(int router)
{
    std::ofstream{settings_path(router)} << settings(router);
    const auto metrics_address = metrics_endpoint(router);
    routers[router] = std::make_unique<failures::child_process>(
        std::vector<std::string>{ENDIVELATCH_PROGRAM, "serve", "--boot=" + settings_path(router),
                                 "--metrics=" + metrics_address.address + ":" +
                                     std::to_string(metrics_address.port)},
        log_path(router));
}

std::string serve_fleet::log_path(int router) const
{
    return dir_ + "/log-" + std::to_string(router);
}

std::pair<std::string, int> serve_fleet::run_command(const std::vector<std::string>& arguments)
{
    std::vector<std::string> command{ENDIVELATCH_PROGRAM};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const auto path = dir_ + "/command";
    failures::child_process process{command, path};
    run_until(loop, [&] { return process.exit_code() >= 0; });
    std::ifstream in{path};
    return {std::string{std::istreambuf_iterator<char>{in}, {}}, process.exit_code()};
}

std::string serve_fleet::log(int router) const
{
    std::ifstream in{log_path(router)};
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

void serve_fleet::wait_until_ready()
{
    for (int n = 1; n <= router_count_; ++n) {
        run_until(loop, [&] {
            run_for(loop, std::chrono::milliseconds{20});
            return readiness(n) == 200;
        });
    }
}

void serve_fleet::write_configuration(int version, const std::vector<std::string>& keys)
{
    const auto route = [](const std::string& name, const std::string& type, int attempts,
                          bool resumes, int timeout_ms = 1'500) {
        return nlohmann::json{
            {"Name", name},       {"Host", "host.example"},  {"PathPrefix", "/" + name + "/"},
            {"Type", type},       {"TimeoutMs", timeout_ms}, {"TargetLatencyMs", 200},
            {"Priority", 1},      {"Service", "pool"},       {"MaxAttempts", attempts},
            {"Anonymous", false}, {"StreamResume", resumes}};
    };
    nlohmann::json limits{{"MaxHeaderBytes", 4'096}, {"MaxBodyBytes", limits_.body_bytes}};
    if (limits_.header_timeout_ms > 0) {
        limits["HeaderTimeoutMs"] = limits_.header_timeout_ms;
    }
    if (limits_.idle_timeout_ms > 0) {
        limits["IdleTimeoutMs"] = limits_.idle_timeout_ms;
    }
    store.put(
        "config", "main",
        {{"Version", version},
         {"Routes",
          {route("safe", "safe", 2, false), route("unsafe", "unsafe", 1, false),
           route("long", "unsafe", 1, false, 60'000), route("once/stream", "streaming", 1, false),
           route("again/stream", "streaming", 2, true)}},
         {"Services", {{{"Name", "pool"}, {"HealthPath", "/healthz"}}}},
         {"Limits", limits},
         {"Tenants", {{{"Name", "org"}, {"ApiKeys", keys}}}}});
}

outgoing_id serve_fleet::send(int router, const std::string& path, const std::string& attempt,
                              const std::string& key, const std::string& method)
{
    return send_with_headers(router, method + " " + path, attempt,
                             "Authorization: Token " + key + "\r\n");
}

outgoing_id serve_fleet::send_prompt(int router, const std::string& attempt,
                                     const std::string& parts)
{
    return send_with_headers(router, "POST /once/stream/x", attempt,
                             "Authorization: Token key\r\nEndivelatch-Token-Usage: 1500,80\r\n"
                             "Endivelatch-Prefix-Hash: " +
                                 parts + "\r\n");
}

outgoing_id serve_fleet::send_with_deadline(int router, const std::string& path,
                                            const std::string& attempt, int deadline_ms,
                                            const std::string& headers)
{
    return send_with_headers(router, "POST " + path, attempt,
                             "Authorization: Token key\r\n" + headers, deadline_ms);
}

outgoing_id serve_fleet::send_with_headers(int router, const std::string& request_line,
                                           const std::string& attempt, const std::string& headers,
                                           int deadline_ms)
{
    outgoing_request request;
    request.to = frontend_endpoint(router);
    request.bytes = request_line +
                    " HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: " + attempt +
                    "\r\nEndivelatch-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
                    headers + "Content-Length: 4\r\n\r\nbody";
    return client_connections.send(std::move(request));
}

const client_response& serve_fleet::wait_for_response(outgoing_id id)
{
    run_until(loop, [&] { return responses[id].has_ended; });
    return responses[id];
}

client_response serve_fleet::send_and_wait(int router, const std::string& path,
                                           const std::string& attempt, const std::string& key)
{
    return wait_for_response(send(router, path, attempt, key));
}

client_response serve_fleet::get(const endpoint& to, const std::string& target)
{
    outgoing_request request;
    request.to = to;
    request.is_idempotent = true;
    request.bytes = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    return wait_for_response(client_connections.send(std::move(request)));
}

int serve_fleet::readiness(int router)
{
    return get(address(router, 1), "/-/readyz").status;
}

} // namespace endivelatch::serve
