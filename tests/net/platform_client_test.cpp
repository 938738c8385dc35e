#include "loopback.hpp"

#include "endivelatch/net/platform_client.hpp"

#include "standins/platform_standin.hpp"
#include "standins/tcp_proxy.hpp"

namespace endivelatch {
namespace {

using standins::json;

/// A client connected to a simulated platform through a proxy.
class platform : public ::testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(standin.start().empty());
        proxy.emplace(loop, endpoint{"127.0.0.1", 0}, standin.listening());
        settings.base_urls = {"http://127.0.0.1:" + std::to_string(proxy->port())};
        settings.read_rate = 1'000;
        settings.write_rate = 1'000;
        settings.call_timeout = std::chrono::milliseconds{300};
        settings.watch_timeout = std::chrono::milliseconds{200};
        settings.watch_grace = std::chrono::milliseconds{200};
        settings.min_retry_delay = std::chrono::milliseconds{20};
        settings.max_retry_delay = std::chrono::milliseconds{100};
        make_client();
    }

    void make_client()
    {
        client.emplace(loop, settings,
                       platform_client_callbacks{
                           [this](platform_answer&& it) { answers[it.call] = it.body; }, {}});
    }

    template <class Call>
    platform_call_id submit(Call call)
    {
        call.call = platform_call_id{++last_call};
        client->submit(call);
        return call.call;
    }

    template <class Body, class Call>
    Body answer_to(Call call)
    {
        const auto id = submit(std::move(call));
        run_until(loop, [&] { return answers.contains(id); });
        EXPECT_TRUE(std::holds_alternative<Body>(answers[id]));
        const Body* body = std::get_if<Body>(&answers[id]);
        return body == nullptr ? Body{} : *body;
    }

    std::uint64_t count(const char* name) { return standin.record().value(name, std::uint64_t{0}); }

    event_loop loop;
    standins::platform_standin standin{loop, {"127.0.0.1", 0}};
    std::optional<standins::tcp_proxy> proxy;
    platform_client_settings settings;
    std::map<platform_call_id, decltype(platform_answer::body)> answers;
    std::uint64_t last_call = 0;
    std::optional<platform_client> client;
};

const write_object create{{}, "config/a b", object_version{0}, "{\"text\":\"ë\"}"};

TEST_F(platform, writes_reads_lists_and_deletes)
{
    const auto written = answer_to<write_done>(create);
    const auto read = answer_to<objects_found>(read_object{{}, create.name});
    ASSERT_EQ(read.objects.size(), 1U);
    EXPECT_EQ(read.objects[0], (platform_object{create.name, written.version, create.document}));
    EXPECT_EQ(answer_to<write_conflict>(create).current, written.version);
    EXPECT_EQ(answer_to<objects_found>(list_objects{{}, "config/"}).objects, read.objects);
    answer_to<write_done>(delete_object{{}, create.name, written.version});
    EXPECT_TRUE(answer_to<objects_found>(read_object{{}, create.name}).objects.empty());
}

TEST_F(platform, watch_is_renewed_until_an_object_changes)
{
    const auto id = submit(watch_objects{{}, "config/", object_version{0}});
    run_until(loop, [&] { return count("watches") >= 3; });
    EXPECT_FALSE(answers.contains(id));
    answer_to<write_done>(create);
    run_until(loop, [&] { return answers.contains(id); });
    EXPECT_EQ(std::get<objects_found>(answers[id]).objects.size(), 1U);
}

TEST_F(platform, silent_watch_is_renewed_on_a_new_connection)
{
    const auto id = submit(watch_objects{{}, "config/", object_version{0}});
    run_until(loop, [&] { return count("watches_open") == 1; });
    proxy->stall_open_connections();
    answer_to<write_done>(create);
    run_until(loop, [&] { return answers.contains(id); });
    EXPECT_EQ(client->counts().silent_watches, 1U);
    EXPECT_EQ(std::get<objects_found>(answers[id]).objects.size(), 1U);
}

TEST_F(platform, write_with_a_lost_response_may_have_taken_effect)
{
    standin.control({{"lose_answers", 1}});
    EXPECT_TRUE(answer_to<platform_failed>(create).may_have_taken_effect);
    EXPECT_EQ(count("writes_applied"), 1U);
}

TEST_F(platform, calls_fail_immediately_during_an_outage_and_few_are_sent)
{
    standin.control({{"outage", true}});
    EXPECT_FALSE(answer_to<platform_failed>(create).may_have_taken_effect);
    const auto watch = submit(watch_objects{{}, "config/", object_version{0}});
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(answer_to<platform_failed>(create).may_have_taken_effect);
    }
    EXPECT_LT(client->counts().writes, 50U);
    standin.control({{"outage", false}});
    run_until(loop, [&] { return !client->is_backing_off(); });
    answer_to<write_done>(create);
    run_until(loop, [&] { return answers.contains(watch); });
}

TEST_F(platform, write_to_an_unreachable_platform_has_not_taken_effect)
{
    settings.base_urls = {"http://127.0.0.1:1"};
    make_client();
    EXPECT_FALSE(answer_to<platform_failed>(create).may_have_taken_effect);
}

TEST_F(platform, tries_the_next_base_url_after_a_failure)
{
    settings.base_urls.insert(settings.base_urls.begin(), "http://127.0.0.1:1");
    make_client();
    answer_to<platform_failed>(create);
    run_until(loop, [&] { return !client->is_backing_off(); });
    answer_to<write_done>(create);
}

TEST_F(platform, stays_within_the_rate_limit)
{
    settings.write_rate = 10;
    settings.burst = 5;
    settings.call_timeout = std::chrono::seconds{10};
    make_client();
    for (int i = 0; i < 50; ++i) {
        submit(create);
    }
    const time_point begin = loop.now();
    run_for(loop, std::chrono::milliseconds{500});
    const std::chrono::duration<double> passed = loop.now() - begin;
    EXPECT_LE(static_cast<double>(client->counts().writes), 5 + 10 * passed.count() + 1);
    EXPECT_GE(client->counts().writes, 5U);
}

TEST_F(platform, backs_off_after_status_429)
{
    standin.control({{"write_rate", 1}});
    for (int i = 0; i < 3; ++i) {
        submit(create);
    }
    run_until(loop, [&] { return answers.size() == 3; });
    EXPECT_GE(client->counts().failed, 1U);
}

} // namespace
} // namespace endivelatch
