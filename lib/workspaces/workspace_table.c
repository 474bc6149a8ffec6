#include "lib/workspaces/workspace_table.h"

#include <string.h>

enum
{
  DIGEST_BYTES = 32,
};

/* SHA-256 of the salt and a key. */
struct key_digest
{
  uint8_t bytes[DIGEST_BYTES];
};

static void
workspace_destroy (gpointer data)
{
  struct workspace *workspace = data;

  g_free (workspace->name);
  g_free (workspace);
}

/* Hashes a digest by its first bytes, which are distributed evenly. */
static guint
key_digest_hash (gconstpointer data)
{
  guint hash;

  memcpy (&hash, data, sizeof hash);
  return hash;
}

/* Compares two digests in a time that doesn't depend on where they differ. */
static gboolean
key_digest_equal (gconstpointer a, gconstpointer b)
{
  const struct key_digest *first = a;
  const struct key_digest *second = b;
  volatile uint8_t difference = 0;

  for (size_t i = 0; i < DIGEST_BYTES; i++)
    difference = (uint8_t) (difference | (first->bytes[i] ^ second->bytes[i]));
  return difference == 0;
}

struct workspace_table *
workspace_table_create (void)
{
  struct workspace_table *table = g_new0 (struct workspace_table, 1);

  table->workspaces = g_ptr_array_new_with_free_func (workspace_destroy);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->keys = g_hash_table_new_full (key_digest_hash, key_digest_equal, g_free, NULL);
  return table;
}

/* Frees a table; NULL is allowed. */
void
workspace_table_destroy (struct workspace_table *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->keys);
  g_hash_table_destroy (table->by_name);
  g_ptr_array_free (table->workspaces, TRUE);
  g_free (table);
}

void
workspace_table_set_salt (struct workspace_table *table, const struct workspace_salt *salt)
{
  table->salt = *salt;
}

struct workspace *
workspace_table_add (struct workspace_table *table, const struct workspace *workspace)
{
  struct workspace *copy;

  if (g_hash_table_contains (table->by_name, workspace->name))
    return NULL;
  copy = g_new (struct workspace, 1);
  *copy = *workspace;
  copy->name = g_strdup (workspace->name);
  g_ptr_array_add (table->workspaces, copy);
  g_hash_table_insert (table->by_name, copy->name, copy);
  return copy;
}

void
workspace_table_merge (struct workspace_table *table, const struct workspace_table *newer)
{
  for (guint i = 0; i < newer->workspaces->len; i++)
    {
      const struct workspace *workspace = g_ptr_array_index (newer->workspaces, i);
      gpointer former = g_hash_table_lookup (table->by_name, workspace->name);

      if (former)
        {
          g_hash_table_remove (table->by_name, workspace->name);
          g_ptr_array_remove (table->workspaces, former);
        }
      workspace_table_add (table, workspace);
    }
}

/* Computes the digest of a key. Returns false if the key is empty or too long, so that a caller
 * can't make a host hash arbitrarily long headers. */
static bool
key_digest_init (struct key_digest *digest, const struct workspace_table *table, const char *key)
{
  size_t len = strnlen (key, WORKSPACE_KEY_BYTES_MAX + 1);
  gsize digest_len = DIGEST_BYTES;
  GChecksum *checksum;

  if (len == 0 || len > WORKSPACE_KEY_BYTES_MAX)
    return false;
  checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (checksum, table->salt.bytes, WORKSPACE_SALT_BYTES);
  g_checksum_update (checksum, (const guchar *) key, (gssize) len);
  g_checksum_get_digest (checksum, digest->bytes, &digest_len);
  g_checksum_free (checksum);
  return true;
}

/* A key that two workspaces have stays in the table without a workspace, so that a third one
 * doesn't get it. It is found as shared also beyond the limit of keys. */
enum workspace_key_status
workspace_table_add_key (struct workspace_table *table, const struct workspace *workspace,
                         const char *key)
{
  struct key_digest digest;
  gpointer known;
  gpointer owner;

  if (!key_digest_init (&digest, table, key))
    return WORKSPACE_KEY_INVALID;
  if (g_hash_table_lookup_extended (table->keys, &digest, &known, &owner))
    {
      if (owner == workspace)
        return WORKSPACE_KEY_REPEATED;
      g_hash_table_insert (table->keys, g_memdup2 (&digest, sizeof digest), NULL);
      return WORKSPACE_KEY_SHARED;
    }
  if (g_hash_table_size (table->keys) >= WORKSPACE_KEYS_MAX)
    return WORKSPACE_KEY_BEYOND_LIMIT;
  g_hash_table_insert (table->keys, g_memdup2 (&digest, sizeof digest), (gpointer) workspace);
  return WORKSPACE_KEY_ADDED;
}

const struct workspace *
workspace_table_find (const struct workspace_table *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

const struct workspace *
workspace_table_find_key (const struct workspace_table *table, const char *key)
{
  struct key_digest digest;

  return key_digest_init (&digest, table, key) ? g_hash_table_lookup (table->keys, &digest) : NULL;
}

bool
workspace_table_is_empty (const struct workspace_table *table)
{
  return table->workspaces->len == 0;
}
