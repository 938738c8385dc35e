#include "fleet.hpp"

#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch::review {

namespace {

constexpr int ports_per_router = 6;
constexpr std::size_t bytes_per_megabyte = 1'000'000;
constexpr duration poll_interval{5'000};

/// Returns ports that are free for TCP and UDP, all different.
std::vector<std::uint16_t> free_ports(int count)
{
    std::vector<std::uint16_t> ports;
    std::vector<int> open;
    while (ports.size() < static_cast<std::size_t>(count)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        open.push_back(tcp);
        open.push_back(udp);
        auto* any = reinterpret_cast<sockaddr*>(&address);
        if (bind(tcp, any, size) == 0 && getsockname(tcp, any, &size) == 0 &&
            bind(udp, any, size) == 0) {
            ports.push_back(ntohs(address.sin_port));
        }
    }
    for (const int fd : open) {
        close(fd);
    }
    return ports;
}

} // namespace

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

record::record(const std::string& path) : out_{path}, started_at_{boot_clock::now()} {}

void record::line(const std::string& text)
{
    const std::chrono::duration<double> at = boot_clock::now() - started_at_;
    out_ << std::fixed << std::setprecision(3) << at.count() << " " << text << std::endl;
}

fleet::fleet(const fleet_settings& settings)
    : clients{loop,
              {[this](outgoing_id id, response_head&& head) {
                   responses[id].status = head.status;
                   responses[id].headers = std::move(head.headers);
               },
               [this](outgoing_id id, std::string_view bytes) { responses[id].body += bytes; },
               [this](outgoing_id id) {
                   responses[id].is_complete = true;
                   responses[id].has_ended = true;
               },
               [this](outgoing_id id, request_failure&&) { responses[id].has_ended = true; }}},
      settings_{settings}, dir_{std::filesystem::temp_directory_path() /
                                ("endivelatch-review-" + std::to_string(getpid()))},
      ports_{free_ports(settings.routers * ports_per_router)}
{
    std::filesystem::create_directories(dir_);
    if (settings.uses_store_proxy) {
        store_proxy =
            std::make_unique<standins::tcp_proxy>(loop, endpoint{"127.0.0.1", 0}, store.address());
    }
    add_replicas(engines, settings.engines, "engine");
    add_replicas(desks, settings.desks, "desk");
    write_configuration(1);
    for (int n = 1; n <= settings.routers; ++n) {
        start(n);
    }
}

fleet::~fleet()
{
    routers.clear();
    std::filesystem::remove_all(dir_);
}

std::uint16_t fleet::port(int router, int offset) const
{
    const int index = (router - 1) * ports_per_router + offset;
    return ports_.at(static_cast<std::size_t>(index));
}

void fleet::add_replicas(std::vector<std::unique_ptr<standins::replica_standin>>& to, int count,
                         const std::string& service)
{
    for (int n = 1; n <= count; ++n) {
        to.push_back(std::make_unique<standins::replica_standin>(
            loop, service + "-" + std::to_string(n), service));
        register_replica(*to.back(), to.back()->address(), 0);
    }
}

void fleet::register_replica(const standins::replica_standin& replica, const endpoint& address,
                             int born)
{
    auto registration = replica.registration();
    registration["Address"] = address.address + ":" + std::to_string(address.port);
    registration["Slots"] = settings_.slots;
    registration["born"] = registration["born"].get<std::uint64_t>() + born;
    store.put("servers", replica.id(), registration);
}

void fleet::start(int router)
{
    const auto text = [&](int offset) {
        return "\"127.0.0.1:" + std::to_string(port(router, offset)) + '"';
    };
    const auto path = dir_ + "/boot-" + std::to_string(router) + ".toml";
    std::ofstream{path}
        << "NodeName = \"edge-" << router << "\"\nZone = \"zone\"\nRegion = \"region\"\n"
        << "Ip = \"127.0.0.1\"\nInternalPorts = [" << port(router, 4) << "," << port(router, 4)
        << "]\n[Listen]\nFrontend = " << text(0) << "\nReadiness = " << text(1)
        << "\nDirectory = " << text(2)
        << "\n[Limits]\nLinkMbps = 1000.0\nMemoryMb = " << settings_.memory_mb
        << "\nMaxFds = " << settings_.descriptors
        << "\n[Bounds]\nStableWindowMs = 3000\nDrainMs = 2000\nGraceS = 8\nConfigApplyMs = 2000\n"
        << "RetryBudgetRatio = 0.2\nRetrySlack = 56\nCapFactor = 2\nttl_max_s = 5\n"
        << "[Platform]\nAddress = \"127.0.0.1:"
        << (store_proxy ? store_proxy->port() : store.address().port) << "\"\nform = \"objects\"\n";
    setenv("ENDIVELATCH_BOOT", path.c_str(), 1);
    routers[router] = std::make_unique<failures::child_process>(
        std::vector<std::string>{"target/endivelatch", "serve",
                                 "--metrics=127.0.0.1:" + std::to_string(port(router, 3))},
        dir_ + "/log-" + std::to_string(router));
}

bool fleet::wait_until_ready()
{
    return std::all_of(routers.begin(), routers.end(),
                       [this](const auto& it) { return wait_until_ready(it.first); });
}

bool fleet::wait_until_ready(int router)
{
    constexpr duration limit{10'000'000};
    return run_until([&] { return readiness(router) == 200; }, limit);
}

void fleet::write_configuration(int version, const std::vector<std::string>& keys)
{
    const auto route = [](const std::string& name, const std::string& type, int attempts,
                          int timeout_ms, int objective_ms, bool resumes) {
        const bool is_stream = type == "streaming";
        return nlohmann::json{{"Name", name},
                              {"Host", "host.example"},
                              {"PathPrefix", "/" + name + "/"},
                              {"Type", type},
                              {"TimeoutMs", timeout_ms},
                              {"TargetLatencyMs", objective_ms},
                              {"Priority", 1},
                              {"Service", is_stream ? "engine" : "desk"},
                              {"MaxAttempts", attempts},
                              {"Anonymous", false},
                              {"StreamResume", resumes}};
    };
    store.put("config", "main",
              {{"Version", version},
               {"Routes",
                {route("status", "safe", 2, settings_.status_timeout_ms, 100, false),
                 route("booking", "unsafe", 1, settings_.status_timeout_ms, 100, false),
                 route("summary", "streaming", 1, settings_.stream_timeout_ms, 600, false),
                 route("schedule", "streaming", 2, settings_.stream_timeout_ms, 500, true)}},
               {"Services",
                {{{"Name", "engine"}, {"HealthPath", "/healthz"}},
                 {{"Name", "desk"}, {"HealthPath", "/healthz"}}}},
               {"Limits",
                {{"MaxHeaderBytes", 16'384},
                 {"MaxBodyBytes", 4'194'304},
                 {"HeaderTimeoutMs", 3'000},
                 {"IdleTimeoutMs", 15'000}}},
               {"Tenants", {{{"Name", "org"}, {"ApiKeys", keys}}}}});
}

outgoing_id fleet::send(int router, const std::string& method, const std::string& path,
                        const std::string& attempt, const std::string& headers)
{
    outgoing_request request;
    request.to = frontend(router);
    request.bytes = method + " " + path +
                    " HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: " + attempt +
                    "\r\nEndivelatch-Deadline-Ms: 1500\r\nAuthorization: Token key\r\n" + headers +
                    (method == "GET" ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
    return clients.send(std::move(request));
}

client_response fleet::send_and_wait(int router, const std::string& method, const std::string& path,
                                     const std::string& attempt, duration limit)
{
    const auto id = send(router, method, path, attempt);
    run_until([&] { return responses[id].has_ended; }, limit);
    return responses[id];
}

int fleet::readiness(int router)
{
    constexpr duration limit{1'000'000};
    outgoing_request request;
    request.to = {"127.0.0.1", port(router, 1)};
    request.bytes = "GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto id = clients.send(std::move(request));
    run_until([&] { return responses[id].has_ended; }, limit);
    run_for(duration{20'000});
    return responses[id].status;
}

bool fleet::run_until(const std::function<bool()>& condition, duration limit)
{
    const auto ends_at = loop.now() + limit;
    timer poll{loop, [&] { poll.start(poll_interval); }};
    poll.start(poll_interval);
    while (!condition()) {
        if (loop.now() >= ends_at) {
            return false;
        }
        loop.run_once();
    }
    return true;
}

void fleet::run_for(duration time)
{
    run_until([] { return false; }, time);
}

std::vector<int> fleet::kill_routers_over_memory()
{
    std::vector<int> killed;
    const auto limit = static_cast<std::size_t>(settings_.memory_mb) * bytes_per_megabyte;
    for (const auto& [router, process] : routers) {
        if (process->exit_code() < 0 && process->peak_memory() > limit) {
            process->kill();
            killed.push_back(router);
        }
    }
    return killed;
}

} // namespace endivelatch::review
