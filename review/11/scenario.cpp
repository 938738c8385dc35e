#include "../harness-3/fleet.hpp"

#include <filesystem>

/// The store comes back from an older copy; after that, the operator takes a key away.
namespace endivelatch::review {
namespace {

constexpr int replica_count = 4;
constexpr int stable_window_ms = 3'000;
constexpr int config_apply_ms = 2'000;
constexpr int observed_ms = 20'000;
const std::string service = "leden-app";
const std::string kept_key = "n2ctnfzs989anu6wsjnb";
const std::string revoked_key = "q7rwh2kx4mve0tzp5dya";

/// Sends a request with the key on a new connection. Returns the status of the answer, or zero.
int ask(const router& entry, const std::string& attempt, const std::string& key)
{
    auto client = connection::open(entry.ip(), entry.frontend());
    if (!client || !client->send(make_request("GET", "/status-opvraag/2f", attempt, 1'500, key))) {
        return 0;
    }
    const auto answer = client->read_message(true);
    return answer ? std::stoi(answer->start_line.substr(9, 3)) : 0;
}

[[noreturn]] void run_case()
{
    recorder record{"review/11/record.txt"};
    const bool restores = has_trouble();
    record.write(restores ? "with the disruption" : "without the disruption");
    store objects;
    std::vector<std::unique_ptr<replica>> replicas;
    for (int n = 1; n <= replica_count; ++n) {
        const auto id = "i-" + std::to_string(n);
        const auto handle = [&, n](connection& conn, const http_message& request) {
            const auto& self = *replicas.at(static_cast<std::size_t>(n - 1));
            record.write("replica " + self.id() + " runs " +
                         request.header("Endivelatch-Attempt-Id"));
            return conn.send(
                format_message("HTTP/1.1 200 OK", self.answer_headers(request), "booked"));
        };
        replicas.push_back(std::make_unique<replica>(id, service, handle));
        objects.put("servers", id, replicas.back()->registration());
    }
    const auto routes = json::array({make_route("status-opvraag", "safe", service, 1'500, 2)});
    const auto write_configuration = [&](int version, const std::vector<std::string>& keys) {
        const auto revision =
            objects.put("config", "main", make_configuration(version, routes, {service}, keys));
        record.write("operator: version " + std::to_string(version) + " acknowledged, revision " +
                     std::to_string(revision));
    };
    write_configuration(10, {kept_key, revoked_key});
    const auto dir = make_temporary_folder();
    int result = 2;
    {
        const router entry{dir, 1, objects.port()};
        if (entry.wait_until_ready()) {
            record.write("the store is copied, revision " + std::to_string(objects.revision()));
            objects.make_copy();
            for (const int version : {13, 17, 19}) {
                write_configuration(version, {kept_key, revoked_key});
                sleep_ms(700);
            }
            if (restores) {
                record.write("the store is away");
                objects.set_away(true);
                sleep_ms(1'000);
                objects.restore_copy();
                objects.set_away(false);
                record.write("the store is back from the copy, revision " +
                             std::to_string(objects.revision()));
                write_configuration(19, {kept_key, revoked_key}); // Written again.
            }
            sleep_ms(stable_window_ms);
            const auto before = ask(entry, "before", revoked_key);
            record.write("client: the key gets " + std::to_string(before));
            write_configuration(23, {kept_key});
            const auto acknowledged = now_ms();
            sleep_ms(config_apply_ms);
            int ran = 0;
            for (int n = 1; now_ms() < acknowledged + config_apply_ms + observed_ms; ++n) {
                const auto late = ask(entry, "late-" + std::to_string(n), revoked_key);
                record.write("client: the revoked key gets " + std::to_string(late));
                ran += late == 200 ? 1 : 0;
                sleep_ms(1'000);
            }
            record.write("the store was called " + std::to_string(objects.calls()) + " times");
            if (before == 200) {
                result = ran > 0 ? 1 : 0;
            }
        }
    }
    std::filesystem::remove_all(dir);
    finish(record, "CONFIG", result);
}

} // namespace
} // namespace endivelatch::review

int main()
{
    endivelatch::review::run_case();
}
