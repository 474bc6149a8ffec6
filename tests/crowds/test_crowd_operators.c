#include "../fleet/cluster.h"
#include "machine.h"
#include "suite.h"

/* Crowds at fleetd's port for operators. */

enum
{
  PORT_BLOCK = 106,
  CLIENTS = 40,
  CONNECTIONS = 320,
  BODY_BYTES = 4000000,
  CHUNK_BYTES = 16 * 1024,
  /* Less than the 60 s after which an idle connection is closed. */
  ORDINARY_LIMIT_MS = 30000,
  RETRY_MS = 200,
};

#define CHUNKED_HEADERS                                                                            \
  "Host: fleet\r\nSesamepick-Operator: tester\r\nTransfer-Encoding: chunked\r\n"

/* Sends an operator's request until it is answered. */
static bool
serve_ordinary (const struct cluster *cluster)
{
  int64_t end_ms = test_now_ms () + ORDINARY_LIMIT_MS;
  int status = 0;

  while (status != 200 && test_now_ms () < end_ms)
    {
      struct reply reply = cluster_call (cluster, 0, "GET", "/v1/status", NULL);

      status = reply.status;
      reply_clear (&reply);
      test_sleep_ms (status == 200 ? 0 : RETRY_MS);
    }
  return status == 200;
}

/* Plays one crowd. */
static void
play (struct crowd_config config)
{
  static const char *const flags[] = { MACHINE_MEMORY_FLAG, NULL };
  struct cluster cluster;
  struct crowd *crowd;
  struct crowd_usage usage;

  cluster_init (
      &cluster,
      &(struct cluster_config){
          .block = PORT_BLOCK, .n_fleetds = 2, .n_seats = 2, .n_tools = 1, .fleetd_args = flags });
  config.port = cluster_operator_port (&cluster, 0);
  crowd = crowd_create (&config, cluster.fleetds[0]->pid);
  crowd_settle (crowd);
  CU_ASSERT (serve_ordinary (&cluster));
  usage = crowd_destroy (crowd);
  CU_ASSERT (process_is_running (cluster.fleetds[0]));
  machine_check_usage (&usage);
  CU_ASSERT (serve_ordinary (&cluster));
  cluster_finish (&cluster);
}

/* Guards against memory that nothing adds up: bodies that stop short of their end. */
static void
test_bodies (void)
{
  g_autoptr (GByteArray) text = crowd_repeated (" ", BODY_BYTES);
  g_autoptr (GByteArray) body = crowd_chunks (text->data, text->len, CHUNK_BYTES);

  play ((struct crowd_config){ .n_clients = CLIENTS,
                               .method = "POST",
                               .path = "/v1/declarations/",
                               .headers = CHUNKED_HEADERS,
                               .body = body });
}

/* Guards against clients that send nothing and keep all connections. */
static void
test_silent (void)
{
  play ((struct crowd_config){ .n_clients = CONNECTIONS });
}

static const struct suite_test tests[] = {
  { "bodies", test_bodies },
  { "silent", test_silent },
};

int
main (void)
{
  return suite_run ("crowd_operators", tests, sizeof tests / sizeof tests[0]);
}
