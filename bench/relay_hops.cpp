/// Compares the latency of streams through two routers with that of streams directly from the
/// engine. scripts/relay-bench starts the processes and passes their ports and process ids; without
/// these arguments the program measures nothing.

#include "relay_load.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include <unistd.h>

namespace endivelatch::bench {
namespace {

/// Processor time and memory of another process.
struct process_usage {
    double cpu_s = 0;
    std::int64_t rss_kb = 0;
};

/// Returns the usage of a process; zeros if it no longer exists.
process_usage usage_of(const std::string& pid)
{
    process_usage usage;
    std::ifstream stat{"/proc/" + pid + "/stat"};
    std::string field;
    std::int64_t ticks = 0;
    // Fields 14 and 15 are user and system time in clock ticks.
    for (int i = 1; i <= 15 && stat >> field; ++i) {
        ticks += i >= 14 ? std::stoll(field) : 0;
    }
    usage.cpu_s = static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status{"/proc/" + pid + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            usage.rss_kb = std::stoll(line.substr(6));
        }
    }
    return usage;
}

/// Returns an HTTP request for a stream of `tokens` tokens.
std::string chat_request(const std::string& key, const std::string& model, int tokens)
{
    const std::string body = "{\"model\":\"" + model +
                             "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) +
                             ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
           "Authorization: Bearer " +
           key +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The command-line arguments.
struct hop_arguments {
    std::uint16_t engine = 0;
    std::uint16_t router = 0;
    std::string key;
    std::string model;
    relay_phase phase;
    std::vector<std::string> pids; ///< Process ids of the routers.
};

/// Runs the streams and prints the results.
void run(hop_arguments arguments)
{
    arguments.phase.request = chat_request(arguments.key, arguments.model, arguments.phase.events);
    std::vector<process_usage> before;
    for (const auto& it : arguments.pids) {
        before.push_back(usage_of(it));
    }
    event_loop loop;
    stream_sink sink{loop, arguments.phase, arguments.engine, arguments.router};
    std::vector<process_usage> during(arguments.pids.size());
    timer sample{loop, [&] {
                     for (std::size_t i = 0; i < arguments.pids.size(); ++i) {
                         during[i] = usage_of(arguments.pids[i]);
                     }
                     sample.start(std::chrono::milliseconds{200});
                 }};
    sample.start(std::chrono::milliseconds{200});
    loop.run();
    const auto measured_events = sink.relayed.us.size();
    const double events = static_cast<double>(arguments.phase.relayed) * arguments.phase.events;
    std::cout << "bench=relay_hops streams=" << arguments.phase.relayed
              << " events_measured=" << measured_events
              << " direct_p50_us=" << sink.direct.quantile(0.5)
              << " direct_p99_us=" << sink.direct.quantile(0.99)
              << " relayed_p50_us=" << sink.relayed.quantile(0.5)
              << " relayed_p99_us=" << sink.relayed.quantile(0.99);
    for (std::size_t i = 0; i < arguments.pids.size(); ++i) {
        const double used_cpu_s = usage_of(arguments.pids[i]).cpu_s - before[i].cpu_s;
        const auto rss_growth_kb = static_cast<double>(during[i].rss_kb - before[i].rss_kb);
        std::cout << " router" << i << "_cpu_us_per_event=" << used_cpu_s * 1e6 / events
                  << " router" << i
                  << "_rss_per_stream_kb=" << rss_growth_kb / arguments.phase.relayed;
    }
    std::cout << std::endl;
}

} // namespace
} // namespace endivelatch::bench

int main(int argc, char** argv)
{
    using namespace endivelatch::bench;
    constexpr int fixed_arguments = 8;
    if (argc < fixed_arguments) {
        std::cout << "bench=relay_hops not_run=see_scripts/relay-bench" << std::endl;
        return 0;
    }
    const std::vector<std::string> args{argv + 1, argv + argc};
    hop_arguments arguments;
    arguments.engine = static_cast<std::uint16_t>(std::stoi(args[0]));
    arguments.router = static_cast<std::uint16_t>(std::stoi(args[1]));
    arguments.key = args[2];
    arguments.model = args[3];
    arguments.phase.relayed = std::stoi(args[4]);
    arguments.phase.direct = std::stoi(args[5]);
    arguments.phase.events = std::stoi(args[6]);
    arguments.pids.assign(args.begin() + fixed_arguments - 1, args.end());
    run(std::move(arguments));
    return 0;
}
