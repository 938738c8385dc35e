#include "../harness-3/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <map>
#include <set>
#include <thread>

/// Four of twelve routers are cut off from the store without a sign. Just after that, a replica
/// reports that it leaves. The other routers reach the store all the while.
namespace endivelatch::review {
namespace {

constexpr int router_count = 12;
constexpr int replica_count = 6;
constexpr std::size_t cut_count = 4;
constexpr int drain_ms = 2'000;
/// Machines notice a cut by keep-alives after this time; requests that come later don't count.
constexpr int observed_ms = 2'900;
const std::string service = "bell-scribes";
const std::string key = "n2ctnfzs989anu6wsjnb";

/// Forwards the connections of one router to the store until it is cut; then nothing passes any
/// more, in either direction, and nothing is closed.
class link {
public:
    explicit link(int store_port)
        : server_{"127.0.0.1", 0, [this, store_port](connection& conn) { serve(conn, store_port); }}
    {
    }

    int port() const { return server_.port(); }
    void cut() { is_cut_ = true; }
    /// Returns the watches that the router has sent to the store.
    int watches() const { return watches_; }

private:
    void serve(connection& client, int store_port)
    {
        auto upstream = connection::open("127.0.0.1", store_port);
        if (!upstream) {
            return;
        }
        std::thread back{[this, &client, &upstream] {
            while (upstream->read_more()) {
                wait_while_cut();
                if (!client.send(std::exchange(upstream->buffer(), {}))) {
                    return;
                }
            }
        }};
        while (client.read_more()) {
            wait_while_cut();
            watches_ += client.buffer().find("Watch=") != std::string::npos ? 1 : 0;
            if (!upstream->send(std::exchange(client.buffer(), {}))) {
                break;
            }
        }
        upstream->shutdown();
        back.join();
    }

    void wait_while_cut() const
    {
        while (is_cut_) {
            sleep_ms(10);
        }
    }

    std::atomic<bool> is_cut_{false};
    std::atomic<int> watches_{0};
    server server_;
};

/// Sends a request on a new connection. Returns the status of the answer, or zero.
int ask(const router& entry, const std::string& attempt)
{
    auto client = connection::open(entry.ip(), entry.frontend());
    if (!client || !client->send(make_request("GET", "/toll-status/2f", attempt, 1'500, key))) {
        return 0;
    }
    const auto answer = client->read_message(true);
    return answer ? std::stoi(answer->start_line.substr(9, 3)) : 0;
}

/// Returns the routers that have watched the store since `before`, most watches first.
std::vector<std::size_t> watchers(const std::vector<std::unique_ptr<link>>& links,
                                  const std::vector<int>& before)
{
    std::vector<std::pair<int, std::size_t>> counts;
    for (std::size_t n = 0; n < links.size(); ++n) {
        counts.emplace_back(before[n] - links[n]->watches(), n);
    }
    std::sort(counts.begin(), counts.end());
    std::vector<std::size_t> chosen;
    for (const auto& [count, n] : counts) {
        if (count < 0) {
            chosen.push_back(n);
        }
    }
    return chosen;
}

[[noreturn]] void run_case()
{
    recorder record{"review/14/record.txt"};
    const bool cuts = has_trouble();
    record.write(cuts ? "with the disruption" : "without the disruption");
    store objects;
    std::vector<std::unique_ptr<replica>> replicas;
    for (int n = 1; n <= replica_count; ++n) {
        const auto id = "i-" + std::to_string(n);
        const auto handle = [&, n](connection& conn, const http_message& request) {
            const auto& self = *replicas.at(static_cast<std::size_t>(n - 1));
            return conn.send(format_message("HTTP/1.1 200 OK", self.answer_headers(request), "ok"));
        };
        replicas.push_back(std::make_unique<replica>(id, service, handle));
        objects.put("servers", id, replicas.back()->registration());
    }
    const auto routes = json::array({make_route("toll-status", "safe", service, 1'500, 2)});
    objects.put("config", "main", make_configuration(1, routes, {service}, {key}));
    const auto dir = make_temporary_folder();
    int result = 2;
    {
        std::vector<std::unique_ptr<link>> links;
        std::vector<std::unique_ptr<router>> routers;
        const auto internal_port = free_port();
        bool are_ready = true;
        for (int n = 1; n <= router_count; ++n) {
            links.push_back(std::make_unique<link>(objects.port()));
            routers.push_back(
                std::make_unique<router>(dir, n, links.back()->port(), internal_port));
        }
        for (const auto& it : routers) {
            are_ready = it->wait_until_ready() && are_ready;
        }
        sleep_ms(8'000); // All routers know each other.
        std::vector<int> before;
        before.reserve(links.size());
        for (const auto& it : links) {
            before.push_back(it->watches());
        }
        sleep_ms(6'000); // Longer than one watch.
        const auto watching = watchers(links, before);
        std::string names;
        for (const auto n : watching) {
            names += " edge-" + std::to_string(n + 1);
        }
        record.write("routers that watch the store:" + names);
        if (are_ready && watching.size() >= cut_count) {
            std::set<std::size_t> cut;
            for (std::size_t i = 0; i < cut_count && cuts; ++i) {
                cut.insert(watching[i]);
                links[watching[i]]->cut();
                record.write("edge-" + std::to_string(watching[i] + 1) +
                             " is cut off from the store");
            }
            sleep_ms(100);
            objects.put("servers", "i-1", replicas.front()->registration("draining"));
            const auto acknowledged = now_ms();
            record.write("replica i-1: the store has acknowledged that it is draining");
            std::vector<std::thread> clients;
            for (std::size_t n = 0; n < routers.size(); ++n) {
                if (cut.contains(n)) {
                    continue; // Only machines in touch are judged.
                }
                clients.emplace_back([&, n] {
                    for (int i = 1; now_ms() < acknowledged + observed_ms; ++i) {
                        ask(*routers[n],
                            "edge-" + std::to_string(n + 1) + "-request-" + std::to_string(i));
                        sleep_ms(10);
                    }
                });
            }
            for (auto& it : clients) {
                it.join();
            }
            std::map<std::string, std::vector<std::int64_t>> late;
            int late_count = 0;
            for (const auto& it : replicas.front()->runs()) {
                const auto after = it.at_ms - acknowledged;
                if (after > drain_ms) {
                    const auto attempt = it.request.header("Endivelatch-Attempt-Id");
                    late[attempt.substr(0, attempt.find("-request"))].push_back(after);
                    ++late_count;
                }
            }
            for (const auto& [name, times] : late) {
                record.write(name + " sent " + std::to_string(times.size()) +
                             " requests that reached replica i-1 later than " +
                             std::to_string(drain_ms) +
                             " ms after the acknowledgement: " + std::to_string(times.front()) +
                             " to " + std::to_string(times.back()) + " ms after it");
            }
            record.write(std::to_string(late_count) + " late requests; all requests at i-1: " +
                         std::to_string(replicas.front()->runs().size()));
            result = late_count > 0 ? 1 : 0;
        }
    }
    std::filesystem::remove_all(dir);
    finish(record, "DRAIN", result);
}

} // namespace
} // namespace endivelatch::review

int main()
{
    endivelatch::review::run_case();
}
