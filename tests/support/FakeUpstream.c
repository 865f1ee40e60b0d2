#include "FakeUpstream.h"

/* Factor on the service time while the process is cold. */
#define COLD_FACTOR 5.0

void
FakeUpstream_Init(FakeUpstream *this, const FakeRules *rules, uint32_t slots)
{
    *this =
        (FakeUpstream){.rules = rules, .slots = slots, .slowdown_factor = 1};
    g_queue_init(&this->waiting);
}

static LoadReport
current_state(const FakeUpstream *this)
{
    return (LoadReport){
        .inflight = this->busy,
        .slots = this->slots,
        .queue = this->waiting.length,
        .draining = this->draining,
    };
}

void
FakeUpstream_RecordState(FakeUpstream *this)
{
    this->history[this->history_next] = current_state(this);
    this->history_next = (this->history_next + 1) % FAKE_HISTORY_COUNT;
}

LoadReport
FakeUpstream_Report(const FakeUpstream *this)
{
    LoadReport report = current_state(this);

    if (this->rules->reports == REPORTS_LATE) {
        report = this->history[this->history_next];
        report.draining = this->draining;
    }
    if (this->rules->reports == REPORTS_ZERO || this->misreporting) {
        report.inflight = 0;
        report.queue = 0;
    }
    if (this->misreporting) {
        report.slots = 1000;
    }
    return report;
}

static double
draw_service_time(const FakeRules *rules)
{
    double mean_service_time = (double)rules->mean_service_time;
    double sum = 0;

    switch (rules->service_times) {
    case TIMES_EXPONENTIAL:
        return Random_Exponential(rules->random, mean_service_time);
    case TIMES_ERLANG4:
        for (int i = 0; i < 4; i++) {
            sum += Random_Exponential(rules->random, mean_service_time / 4);
        }
        return sum;
    case TIMES_CONSTANT:
        return mean_service_time;
    }
    return 0;
}

static void
respond(FakeJob *job, AttemptOutcome outcome)
{
    job->outcome = outcome;
    job->report = FakeUpstream_Report(job->fake);
    job->done(job);
}

static void on_served(void *user, uint64_t argument);

static void
serve(FakeUpstream *this, FakeJob *job)
{
    double time = draw_service_time(this->rules) * this->slowdown_factor;

    if (this->cold_requests_left > 0) {
        this->cold_requests_left--;
        time *= COLD_FACTOR;
    }
    this->busy++;
    job->service_time = (Micros)time;
    EventQueue_Add(this->rules->queue, job->service_time, on_served, job, 0);
}

static void
on_served(void *user, uint64_t argument)
{
    FakeJob *job = user;
    FakeUpstream *this = job->fake;
    FakeJob *next = g_queue_pop_head(&this->waiting);

    this->busy--;
    if (next != NULL) {
        serve(this, next);
    }
    respond(job, ATTEMPT_OK);
}

void
FakeUpstream_Receive(FakeUpstream *this, FakeJob *job)
{
    job->fake = this;
    job->service_time = 0;
    if (this->failing) {
        respond(job, ATTEMPT_ERROR);
    }
    else if (this->busy < this->slots) {
        serve(this, job);
    }
    else if (this->rules->shed &&
             this->waiting.length >= this->rules->queue_max) {
        respond(job, ATTEMPT_SHED);
    }
    else {
        g_queue_push_tail(&this->waiting, job);
    }
}
