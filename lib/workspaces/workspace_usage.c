#include "lib/workspaces/workspace_usage.h"

enum
{
  /* How long smaller requests of a workspace may be started before a larger one that doesn't fit
   * under the cap. Without a limit a stream of small tasks would keep a large one waiting for good.
   */
  PASSED_OVER_MAX_MS = 1000,
};

static void
workspace_account_destroy (gpointer data)
{
  struct workspace_account *account = data;

  g_free (account->name);
  g_free (account);
}

struct workspace_usage *
workspace_usage_create (void)
{
  struct workspace_usage *usage = g_new0 (struct workspace_usage, 1);

  usage->accounts = g_ptr_array_new_with_free_func (workspace_account_destroy);
  usage->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  usage->mean_weight = 1;
  return usage;
}

/* Frees the accounts; NULL is allowed. */
void
workspace_usage_destroy (struct workspace_usage *usage)
{
  if (!usage)
    return;
  g_hash_table_destroy (usage->by_name);
  g_ptr_array_free (usage->accounts, TRUE);
  g_free (usage);
}

struct workspace_account *
workspace_usage_account (struct workspace_usage *usage, const char *name)
{
  struct workspace_account *account = g_hash_table_lookup (usage->by_name, name);

  if (account)
    return account;
  account = g_new0 (struct workspace_account, 1);
  account->name = g_strdup (name);
  account->index = usage->accounts->len;
  account->refused_ms = -1;
  g_ptr_array_add (usage->accounts, account);
  g_hash_table_insert (usage->by_name, account->name, account);
  return account;
}

void
workspace_usage_apply (struct workspace_usage *usage, const struct workspace_table *table)
{
  double sum = 0;

  usage->active = !workspace_table_is_empty (table);
  for (guint i = 0; i < usage->accounts->len; i++)
    {
      struct workspace_account *account = g_ptr_array_index (usage->accounts, i);

      account->configured = false;
      if (!usage->active)
        account->cap = (struct resources){ 0 };
    }
  for (guint i = 0; i < table->workspaces->len; i++)
    {
      const struct workspace *workspace = g_ptr_array_index (table->workspaces, i);
      struct workspace_account *account = workspace_usage_account (usage, workspace->name);

      account->configured = true;
      account->cap = workspace->cap;
      account->weight = workspace->weight;
      sum += workspace->weight;
    }
  if (usage->active && sum > 0)
    usage->mean_weight = sum / table->workspaces->len;
}

void
workspace_usage_clear_assumed (struct workspace_usage *usage)
{
  for (guint i = 0; i < usage->accounts->len; i++)
    {
      struct workspace_account *account = g_ptr_array_index (usage->accounts, i);

      account->assumed = (struct resources){ 0 };
      account->n_assumed = 0;
    }
}

double
workspace_usage_weight (const struct workspace_usage *usage,
                        const struct workspace_account *account)
{
  return account->weight > 0 ? account->weight : usage->mean_weight;
}

void
workspace_account_add (struct workspace_account *account, const struct resources *request)
{
  resources_add (&account->used, request);
  account->n_running++;
}

void
workspace_account_remove (struct workspace_account *account, const struct resources *request)
{
  struct resources negative = { .cpu_milli = -request->cpu_milli,
                                .memory_mb = -request->memory_mb,
                                .gpus = -request->gpus };

  g_assert (account->n_running > 0);
  resources_add (&account->used, &negative);
  account->n_running--;
}

void
workspace_account_assume (struct workspace_account *account, const struct resources *request,
                          unsigned n)
{
  resources_add (&account->assumed, request);
  account->n_assumed += n;
}

/* Returns whether an amount is within a limit, which is none if it is 0. */
static bool
amount_is_within (int64_t amount, int64_t limit)
{
  return limit == 0 || amount <= limit;
}

/* Returns what runs or may run. */
static struct resources
workspace_account_total (const struct workspace_account *account)
{
  struct resources total = account->used;

  resources_add (&total, &account->assumed);
  return total;
}

/* Returns whether the cap allows what runs and a request beside it. */
static bool
workspace_account_fits (const struct workspace_account *account, const struct resources *request)
{
  struct resources total = workspace_account_total (account);

  resources_add (&total, request);
  return amount_is_within (total.cpu_milli, account->cap.cpu_milli) &&
         amount_is_within (total.memory_mb, account->cap.memory_mb) &&
         amount_is_within (total.gpus, account->cap.gpus);
}

bool
workspace_account_allows (const struct workspace_account *account, const struct resources *request)
{
  return account->n_running + account->n_assumed == 0 || workspace_account_fits (account, request);
}

bool
workspace_account_decide (struct workspace_account *account, const struct resources *request,
                          const struct resources *one, int64_t now_ms)
{
  struct resources others = { .cpu_milli = request->cpu_milli - one->cpu_milli,
                              .memory_mb = request->memory_mb - one->memory_mb,
                              .gpus = request->gpus - one->gpus };

  account->exceeds_cap = false;
  if (workspace_account_allows (account, request))
    return true;
  if (now_ms - account->refused_ms > PASSED_OVER_MAX_MS)
    account->passed_over_since_ms = 0;
  account->refused += account->refused_ms != now_ms;
  account->refused_ms = now_ms;
  account->exceeds_cap = account->n_unconfirmed + account->n_assumed == 0 &&
                         account->passed_over_since_ms > 0 &&
                         now_ms - account->passed_over_since_ms >= PASSED_OVER_MAX_MS &&
                         workspace_account_fits (account, &others);
  return account->exceeds_cap;
}

void
workspace_account_started (struct workspace_account *account, unsigned n, int64_t now_ms)
{
  account->starts += n;
  if (account->exceeds_cap)
    account->passed_over_since_ms = 0;
  else if (account->refused_ms == now_ms && account->passed_over_since_ms == 0)
    account->passed_over_since_ms = now_ms;
}

bool
workspace_account_has_cap (const struct workspace_account *account)
{
  return account->cap.cpu_milli > 0 || account->cap.memory_mb > 0 || account->cap.gpus > 0;
}

bool
workspace_account_is_full (const struct workspace_account *account)
{
  struct resources total = workspace_account_total (account);

  return (account->cap.cpu_milli > 0 && total.cpu_milli >= account->cap.cpu_milli) ||
         (account->cap.memory_mb > 0 && total.memory_mb >= account->cap.memory_mb) ||
         (account->cap.gpus > 0 && total.gpus >= account->cap.gpus);
}

/* Returns the share of a demand, 0 to 1, that fits under a limit beside what is used. */
static double
amount_share (int64_t demand, int64_t used, int64_t limit)
{
  if (limit == 0 || demand == 0 || used + demand <= limit)
    return 1;
  return (double) MAX (limit - used, 0) / (double) demand;
}

double
workspace_account_demand_share (const struct workspace_account *account,
                                const struct resources *demand, bool used)
{
  struct resources total = used ? account->used : (struct resources){ 0 };
  double cpu = amount_share (demand->cpu_milli, total.cpu_milli, account->cap.cpu_milli);
  double memory = amount_share (demand->memory_mb, total.memory_mb, account->cap.memory_mb);
  double gpus = amount_share (demand->gpus, total.gpus, account->cap.gpus);

  return MIN (cpu, MIN (memory, gpus));
}
