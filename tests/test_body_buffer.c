#include <glib.h>
#include <string.h>

#include "BodyBuffer.h"
#include "ForwardSeal.h"
#include "Random.h"

#define SEED 20261206
#define RUNS 200
#define BYTES_MAX 300000
#define BLOCK_BYTES 65536

static GString *
random_bytes(Random *random, size_t length)
{
    GString *text = g_string_sized_new(length);

    for (size_t i = 0; i < length; i++) {
        g_string_append_c(text, (char)Random_Next(random));
    }
    return text;
}

/* Appends @text in parts of random lengths up to @part_max. */
static BodyBuffer *
create_in_parts(Random *random, const GString *text, size_t part_max)
{
    BodyBuffer *body = BodyBuffer_Create();

    for (size_t n = 0; n < text->len;) {
        size_t part = Random_Below(random, part_max) + 1;

        part = MIN(part, text->len - n);
        BodyBuffer_Append(body, (Str){text->str + n, part});
        n += part;
    }
    return body;
}

static void
check_body(Random *random, const BodyBuffer *body, const GString *text)
{
    uint8_t digest[FORWARD_DIGEST_BYTES];
    g_autofree char *expected = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, (const guchar *)text->str, text->len);
    GString *copy = BodyBuffer_ToString(body), *hex = g_string_new(NULL);

    g_assert_cmpuint(BodyBuffer_Length(body), ==, text->len);
    g_assert_true(g_string_equal(copy, text));
    g_assert_cmpuint(BodyBuffer_Hash(body), ==,
                     Str_Hash(Str_FromString(text)));
    ForwardSeal_Digest(body, digest);
    for (size_t i = 0; i < sizeof(digest); i++) {
        g_string_append_printf(hex, "%02x", digest[i]);
    }
    g_assert_cmpstr(hex->str, ==, expected);
    for (int i = 0; i < 100 && text->len > 0; i++) {
        size_t offset = Random_Below(random, text->len);
        Str part = BodyBuffer_From(body, offset);

        g_assert_cmpuint(part.length, >, 0);
        g_assert_cmpuint(part.length, <=, BLOCK_BYTES);
        g_assert_true(memcmp(part.data, text->str + offset, part.length) == 0);
    }
    g_assert_cmpuint(BodyBuffer_From(body, text->len).length, ==, 0);
    g_string_free(copy, TRUE);
    g_string_free(hex, TRUE);
}

/* Guards against bytes that are lost or changed, and against a hash or digest
 * that depends on how the body has arrived. */
static void
test_parts(void)
{
    static const size_t parts_max[] = {1, 3, 100, 16384, 200000};
    Random *random = Random_Create(SEED);

    g_test_message("seed %d", SEED);
    for (int run = 0; run < RUNS; run++) {
        GString *text = random_bytes(
            random, Random_Below(random, run % 10 == 0 ? BYTES_MAX : 3000));
        BodyBuffer *body = create_in_parts(
            random, text,
            parts_max[Random_Below(random, G_N_ELEMENTS(parts_max))]);

        check_body(random, body, text);
        BodyBuffer_Destroy(body);
        g_string_free(text, TRUE);
    }
    Random_Destroy(random);
}

/* Guards against a missing body that differs from an empty one. */
static void
test_empty(void)
{
    BodyBuffer *body = BodyBuffer_Create();

    g_assert_cmpuint(BodyBuffer_Hash(body), ==, Str_Hash(STR("")));
    g_assert_cmpuint(BodyBuffer_Hash(NULL), ==, Str_Hash(STR("")));
    g_assert_cmpuint(BodyBuffer_Length(NULL), ==, 0);
    g_assert_cmpuint(BodyBuffer_From(NULL, 0).length, ==, 0);
    BodyBuffer_Destroy(body);
    BodyBuffer_Destroy(NULL);
}

/* Guards against bytes that move while a part is sent. */
static void
test_parts_stay(void)
{
    BodyBuffer *body = BodyBuffer_Create();
    Str first;

    BodyBuffer_Append(body, STR("first"));
    first = BodyBuffer_From(body, 0);
    for (int i = 0; i < 100000; i++) {
        BodyBuffer_Append(body, STR("more"));
    }
    g_assert_true(BodyBuffer_From(body, 0).data == first.data);
    g_assert_true(Str_StartsWith(first, STR("first")));
    BodyBuffer_Destroy(body);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/body-buffer/parts", test_parts);
    g_test_add_func("/body-buffer/empty", test_empty);
    g_test_add_func("/body-buffer/parts-stay", test_parts_stay);
    return g_test_run();
}
