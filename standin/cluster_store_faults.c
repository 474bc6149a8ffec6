#include <string.h>

#include "cluster.h"

/* Faults of the simulated store: lost responses, and times at which it rejects all calls. */

enum
{
  PERMILLE = 1000,
  LATE_MIN_MS = 20,
  LATE_MAX_MS = 2500,
};

static const struct
{
  const char *name;
  enum store_mode mode;
} modes[] = {
  { "up", STORE_UP },
  { "busy", STORE_BUSY },
  { "silent", STORE_UNRESPONSIVE },
  { "mute", STORE_LOSES_ACKS },
  { "deaf", STORE_IGNORES_APPENDS },
  { "cut", STORE_CUTS },
  { "gateway", STORE_GATEWAY },
  { "mix", STORE_MIXED },
};

void
store_faults_init (struct cluster *cluster)
{
  cluster->store_faults.rand = g_rand_new_with_seed (1);
}

void
store_faults_finish (struct cluster *cluster)
{
  g_rand_free (cluster->store_faults.rand);
}

void
store_faults_set (struct cluster *cluster, const json_t *body)
{
  struct store_faults *faults = &cluster->store_faults;
  const char *name = json_string_value (json_object_get (body, "store"));
  const json_t *seed = json_object_get (body, "seed");

  for (size_t i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      if (g_strcmp0 (modes[i].name, name) == 0)
        faults->mode = modes[i].mode;
    }
  if (!name)
    return;
  if (seed)
    g_rand_set_seed (faults->rand, (guint32) json_integer_value (seed));
  faults->permille = (unsigned) json_integer_value (json_object_get (body, "permille"));
  faults->busy_max_ms = (unsigned) json_integer_value (json_object_get (body, "busy_ms"));
  faults->busy_until_ms = 0;
}

int
store_busy_status (struct cluster *cluster)
{
  const struct store_faults *faults = &cluster->store_faults;

  if (faults->mode == STORE_BUSY)
    return 503;
  return cluster_now_ms (cluster) < faults->busy_until_ms ? faults->busy_status : 0;
}

/* Draws a kind of fault for the mode STORE_MIXED. */
static struct append_fault
store_faults_draw_mixed (GRand *rand)
{
  static const enum append_fault_kind kinds[] = { APPEND_CUT, APPEND_CUT, APPEND_GATEWAY,
                                                  APPEND_DROPPED, APPEND_LATE };
  static const int statuses[] = { 500, 502, 504 };

  return (struct append_fault){
    .kind = kinds[g_rand_int_range (rand, 0, G_N_ELEMENTS (kinds))],
    .status = statuses[g_rand_int_range (rand, 0, G_N_ELEMENTS (statuses))],
    .delay_ms = g_rand_int_range (rand, LATE_MIN_MS, LATE_MAX_MS),
  };
}

struct append_fault
store_faults_draw (struct cluster *cluster)
{
  struct store_faults *faults = &cluster->store_faults;
  struct append_fault fault = { .kind = APPEND_ANSWERED };

  if (faults->mode == STORE_CUTS)
    fault.kind = APPEND_CUT;
  else if (faults->mode == STORE_GATEWAY)
    fault = (struct append_fault){ .kind = APPEND_GATEWAY, .status = 502 };
  else if (faults->mode == STORE_MIXED &&
           (unsigned) g_rand_int_range (faults->rand, 0, PERMILLE) < faults->permille)
    fault = store_faults_draw_mixed (faults->rand);
  if (fault.kind == APPEND_ANSWERED || faults->busy_max_ms == 0)
    return fault;
  faults->busy_until_ms = cluster_now_ms (cluster) +
                          g_rand_int_range (faults->rand, 0, (gint32) faults->busy_max_ms + 1);
  faults->busy_status = g_rand_int_range (faults->rand, 0, 4) == 0 ? 429 : 503;
  return fault;
}
